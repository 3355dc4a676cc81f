#ifndef TESTS_FUZZ_REPLAY_H
#define TESTS_FUZZ_REPLAY_H

#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

/*
 * Provides main() for a fuzz target that is built without a fuzzer: runs the
 * target on each file named as an argument.  With -DMW_FUZZER it is left out,
 * because libFuzzer has its own.
 */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

#ifndef MW_FUZZER
static int replay_file(const char *name)
{
	FILE *f = fopen(name, "rb");
	uint8_t *data = NULL;
	size_t size = 0, n;

	if (!f) {
		perror(name);
		return 1;
	}
	do {
		uint8_t *grown = realloc(data, size + 65536);

		if (!grown)
			abort();
		data = grown;
		n = fread(data + size, 1, 65536, f);
		size += n;
	} while (n);
	fclose(f);
	LLVMFuzzerTestOneInput(data, size);
	free(data);
	return 0;
}

int main(int argc, char **argv)
{
	int failed = 0;

	for (int i = 1; i < argc; i++)
		failed |= replay_file(argv[i]);
	return failed;
}
#endif

/* Like assert(), but also checked if NDEBUG is defined. */
#define FUZZ_CHECK(cond)                                                       \
	do {                                                                   \
		if (!(cond)) {                                                 \
			fprintf(stderr, "%s:%d: %s\n", __FILE__, __LINE__,     \
				#cond);                                        \
			abort();                                               \
		}                                                              \
	} while (0)

#endif
