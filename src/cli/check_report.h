#ifndef CLI_CHECK_REPORT_H
#define CLI_CHECK_REPORT_H

#include "base/finding.h"
#include "cli/cli.h"
#include "state/tree.h"

/*
 * Result of a check of a configuration, printed as text or JSON.  The checks of
 * the settings tree and of published documents share it, with its exit status.
 */
struct check_report {
	const char *file;
	GPtrArray *findings; /* struct finding */
	json_t *differences; /* as of cli_tree_diff(); NULL: left out */
	json_t *notes;	     /* sentences on what was left out or assumed */
	int64_t version;     /* that the differences refer to */
	int fetch_status;    /* CLI_UNREACHABLE: they could not be asked for */
};

#define AUTO_REPORT __attribute__((cleanup(check_report_release)))

void check_report_init(struct check_report *r, const char *file);
void check_report_release(struct check_report *r);

/* Appends a note. */
void check_report_note(struct check_report *r, const char *text);

/*
 * Reads the file; the caller frees *text with g_free().  Returns CLI_OK, or
 * CLI_USAGE with the error line set if it cannot be read or is larger than max
 * bytes.
 */
int check_read_file(struct cli *c, const char *file, size_t max, char **text,
		    size_t *len);

/*
 * Asks for what is in force, as cli_ask().  On any failure sets the error line
 * and r->fetch_status.
 */
void check_report_fetch(struct cli *c, struct check_report *r, const char *path,
			json_t **json);

/*
 * Checks the text of a file of settings: adds findings, notes and, unless
 * in_force is NULL, the differences to it.  Does no I/O.
 */
void cli_check_tree_text(const char *text, size_t len,
			 const struct tree *in_force, struct check_report *r);

/*
 * Prints the report to c->out and returns the exit status: CLI_REFUSED if there
 * are errors, otherwise the status of a failed question, CLI_WARNINGS if there
 * are warnings, or CLI_OK.
 */
int check_report_print(struct cli *c, const struct check_report *r);

#endif
