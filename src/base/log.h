#ifndef BASE_LOG_H
#define BASE_LOG_H

/*
 * Log lines on standard error in syslog format:
 * "<severity>program[pid]: part: text".  Lines are truncated to 1023 bytes with
 * the newline.  Secrets and request bodies are never logged.
 */

/* Values are syslog severities. */
enum log_level {
	LOG_ERROR = 3,
	LOG_WARN = 4,
	LOG_INFO = 6,
	LOG_DEBUG = 7,
};

/* Sets the program name and the least severe level that is logged. */
void log_setup(const char *program, enum log_level max);

void log_line(enum log_level level, const char *part, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

#define log_error(part, ...) log_line(LOG_ERROR, part, __VA_ARGS__)
#define log_warn(part, ...) log_line(LOG_WARN, part, __VA_ARGS__)
#define log_info(part, ...) log_line(LOG_INFO, part, __VA_ARGS__)
#define log_debug(part, ...) log_line(LOG_DEBUG, part, __VA_ARGS__)

#endif
