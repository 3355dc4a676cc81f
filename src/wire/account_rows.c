#include "wire/account_rows.h"

#include <string.h>

static void row_free(void *p)
{
	Mw__AccountRow *row = p;

	for (size_t i = 0; i < row->n_restricted; i++) {
		g_free(row->restricted[i]->regions);
		g_free(row->restricted[i]);
	}
	g_free(row->restricted);
	g_free(row->account);
	g_free(row);
}

GPtrArray *account_rows_new(void)
{
	return g_ptr_array_new_with_free_func(row_free);
}

static Mw__AccountRow *append_row(GPtrArray *rows, const char *account)
{
	Mw__AccountRow *row = g_new0(Mw__AccountRow, 1);

	mw__account_row__init(row);
	row->account = g_strdup(account);
	g_ptr_array_add(rows, row);
	return row;
}

Mw__AccountRow *account_rows_get(GPtrArray *rows, const char *account)
{
	for (guint i = 0; i < rows->len; i++) {
		Mw__AccountRow *row = rows->pdata[i];
		if (!strcmp(row->account, account))
			return row;
	}
	return append_row(rows, account);
}

void account_rows_append(GPtrArray *rows, const Mw__AccountRow *row)
{
	account_row_add(append_row(rows, row->account), row);
}

Mw__RegionQueue *account_row_restricted(Mw__AccountRow *row,
					const char *regions)
{
	for (size_t i = 0; i < row->n_restricted; i++)
		if (!strcmp(row->restricted[i]->regions, regions))
			return row->restricted[i];
	Mw__RegionQueue *q = g_new0(Mw__RegionQueue, 1);
	mw__region_queue__init(q);
	q->regions = g_strdup(regions);
	row->restricted = g_renew(Mw__RegionQueue *, row->restricted,
				  row->n_restricted + 1);
	row->restricted[row->n_restricted++] = q;
	return q;
}

void account_row_add(Mw__AccountRow *sum, const Mw__AccountRow *row)
{
	sum->used += row->used;
	sum->tokens += row->tokens;
	sum->refused += row->refused;
	for (size_t i = 0; i < row->n_restricted; i++)
		account_row_restricted(sum, row->restricted[i]->regions)
			->tokens += row->restricted[i]->tokens;
}

void account_row_subtract(Mw__AccountRow *sum, const Mw__AccountRow *row)
{
	sum->used -= MIN(sum->used, row->used);
	sum->tokens -= MIN(sum->tokens, row->tokens);
	sum->refused -= MIN(sum->refused, row->refused);
	for (size_t i = 0; i < row->n_restricted; i++) {
		Mw__RegionQueue *q = account_row_restricted(
			sum, row->restricted[i]->regions);
		q->tokens -= MIN(q->tokens, row->restricted[i]->tokens);
	}
}

static uint64_t row_size(const Mw__AccountRow *row)
{
	return row->used + row->tokens + row->refused;
}

/* Largest first; by name among equal ones, so that the order is fixed. */
static int compare_rows(const void *a, const void *b)
{
	const Mw__AccountRow *x = *(Mw__AccountRow *const *)a;
	const Mw__AccountRow *y = *(Mw__AccountRow *const *)b;

	if (row_size(x) != row_size(y))
		return row_size(x) > row_size(y) ? -1 : 1;
	return strcmp(x->account, y->account);
}

void account_rows_bound(GPtrArray *rows)
{
	g_ptr_array_sort(rows, compare_rows);
	while (rows->len && !row_size(rows->pdata[rows->len - 1]))
		g_ptr_array_remove_index(rows, rows->len - 1);
	if (rows->len <= ACCOUNT_ROWS_MAX)
		return;
	g_autoptr(GPtrArray) others = account_rows_new();
	Mw__AccountRow *sum = account_rows_get(others, ACCOUNT_ROWS_OTHERS);

	while (rows->len >= ACCOUNT_ROWS_MAX) {
		account_row_add(sum, rows->pdata[rows->len - 1]);
		g_ptr_array_remove_index(rows, rows->len - 1);
	}
	account_row_add(account_rows_get(rows, ACCOUNT_ROWS_OTHERS), sum);
}

void account_rows_move(GPtrArray *rows, Mw__QueueRow *to)
{
	to->n_accounts = rows->len;
	to->accounts = g_new0(Mw__AccountRow *, rows->len + 1);
	for (guint i = 0; i < rows->len; i++)
		to->accounts[i] = rows->pdata[i];
	g_ptr_array_set_free_func(rows, NULL);
	g_ptr_array_unref(rows);
}

void account_rows_free_moved(Mw__QueueRow *row)
{
	for (size_t i = 0; i < row->n_accounts; i++)
		row_free(row->accounts[i]);
	g_free(row->accounts);
}
