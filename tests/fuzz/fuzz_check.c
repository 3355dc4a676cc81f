#include "replay.h"

#include "base/cleanup.h"
#include "cli/check_report.h"

/* Input: a file of settings or edits for `mustardwall check`. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	AUTO_TREE struct tree *initial = tree_new_initial();

	for (int i = 0; i < 4; i++) {
		AUTO_REPORT struct check_report r;
		struct cli c = {.json = i & 1};

		check_report_init(&r, "file");
		cli_check_tree_text((const char *)data, size,
				    i & 2 ? initial : NULL, &r);
		FUZZ_CHECK(!r.differences ||
			   !findings_count(r.findings, FINDING_ERROR));
		check_report_print(&c, &r);
		AUTO_JSON json_t *o =
			c.json ? json_loads(c.out.data, 0, NULL) : NULL;
		FUZZ_CHECK(!c.json || o);
		buf_release(&c.out);
	}
	return 0;
}
