#include "base/log.h"

#include <stdarg.h>
#include <stdio.h>
#include <unistd.h>

static const char *log_program = "mustardwall";
static enum log_level log_max_level = LOG_INFO;

void log_setup(const char *program, enum log_level max)
{
	log_program = program;
	log_max_level = max;
}

void log_line(enum log_level level, const char *part, const char *fmt, ...)
{
	char line[1024];
	va_list ap;

	if (level > log_max_level)
		return;
	int n = snprintf(line, sizeof(line), "<%d>%s[%d]: %s: ", (int)level,
			 log_program, (int)getpid(), part);
	va_start(ap, fmt);
	int m = vsnprintf(line + n, sizeof(line) - (size_t)n - 1, fmt, ap);
	va_end(ap);
	if (m < 0)
		return;
	n += m;
	if (n > (int)sizeof(line) - 2)
		n = (int)sizeof(line) - 2;
	line[n++] = '\n';
	/* A single write() keeps lines of several processes from interleaving.
	 */
	if (write(STDERR_FILENO, line, (size_t)n) < 0)
		return;
}
