#ifndef WIRE_ACCOUNT_ROWS_H
#define WIRE_ACCOUNT_ROWS_H

#include <glib.h>

#include "wire/mw.pb-c.h"

/*
 * Lists of Mw__AccountRow, in which the rows own their strings: sums by client
 * account that hosts report and control processes add up.
 */

/*
 * Rows in one message for one service.  Further accounts share a row, which
 * counts as one account; those that use or ask for most have rows of their own.
 */
#define ACCOUNT_ROWS_MAX 64

/* Name of the shared row. */
#define ACCOUNT_ROWS_OTHERS "*"

/* Returns an empty list, which frees its rows. */
GPtrArray *account_rows_new(void);
/* The row of the account, which is added if there is none. */
Mw__AccountRow *account_rows_get(GPtrArray *rows, const char *account);
/* Adds a copy of the row, whose account the list must not have yet; it is not
 * searched, as control processes copy long lists for each host. */
void account_rows_append(GPtrArray *rows, const Mw__AccountRow *row);
/* Adds the amounts of `row` to those of `sum`, or subtracts them. */
void account_row_add(Mw__AccountRow *sum, const Mw__AccountRow *row);
void account_row_subtract(Mw__AccountRow *sum, const Mw__AccountRow *row);
/* The restricted part of the row for these regions; added if there is none. */
Mw__RegionQueue *account_row_restricted(Mw__AccountRow *row,
					const char *regions);
/* Drops rows without amounts, and merges those above ACCOUNT_ROWS_MAX. */
void account_rows_bound(GPtrArray *rows);
/* Moves the rows to a message, and frees the list. */
void account_rows_move(GPtrArray *rows, Mw__QueueRow *to);
/* Frees the rows of a message that account_rows_move() has put there. */
void account_rows_free_moved(Mw__QueueRow *row);

#endif
