/*
 * One row for each error kind:
 * MW_ERR(name, kind, http status, promises "not run", resend may help, text)
 *
 * Included several times with different definitions of MW_ERR, therefore
 * without an include guard.
 */
MW_ERR(INVAL, "invalid_request", 400, 1, 0, "The request is malformed.")
MW_ERR(AUTH, "unauthorized", 401, 1, 0, "The key is missing or not known.")
MW_ERR(PERM, "forbidden", 403, 1, 0, "The client account may not do this.")
MW_ERR(NOTFOUND, "not_found", 404, 1, 0, "No such route, model or object.")
MW_ERR(METHOD, "method_not_allowed", 405, 1, 0, "The method is not allowed.")
MW_ERR(INPROGRESS, "in_progress", 409, 0, 1,
       "A call with this key is running; ask again later.")
MW_ERR(CONFLICT, "conflict", 409, 1, 0,
       "The change was made from an older version.")
MW_ERR(TOOBIG, "too_large", 413, 1, 0, "The request is too large.")
MW_ERR(KEYREUSED, "key_reused", 422, 1, 0,
       "The idempotency key was used with another body.")
MW_ERR(SCHEMA, "schema_violation", 422, 1, 0,
       "The change does not fit the schema.")
MW_ERR(POISON, "request_crashes_endpoints", 422, 0, 0,
       "Endpoints crashed while running this request.")
MW_ERR(LIMIT, "rate_limited", 429, 1, 1,
       "The client account is over its limits.")
MW_ERR(QUEUEFULL, "queue_full", 429, 1, 1, "The queue is full.")
MW_ERR(DEADLINE, "deadline_unreachable", 503, 1, 1,
       "The deadline cannot be met.")
MW_ERR(DRAINING, "draining", 503, 1, 1, "The host is shutting down.")
MW_ERR(FENCED, "fenced", 503, 1, 1, "The host has lost its lease.")
MW_ERR(PENDING, "config_pending", 503, 1, 1,
       "A configuration change with unknown outcome affects this request.")
MW_ERR(NOENDPOINT, "no_endpoint", 503, 1, 1, "No endpoint can take this.")
MW_ERR(NOREGION, "no_allowed_region", 503, 1, 0,
       "No known region is allowed by route and client account.")
MW_ERR(REGIONDOWN, "allowed_regions_unavailable", 503, 1, 1,
       "No endpoint of an allowed region is available.")
MW_ERR(NOTRUN, "not_run", 503, 1, 0,
       "The call did not run and the key is closed.")
MW_ERR(NOLEADER, "no_leader", 503, 0, 1, "The control leader is out of reach.")
MW_ERR(NOTLEADER, "not_leader", 503, 0, 1, "This host is not the leader.")
MW_ERR(DCCUT, "data_centre_cut", 503, 1, 1,
       "A data centre is out of reach and was not left out.")
MW_ERR(UNKNOWN, "outcome_unknown", 504, 0, 0,
       "The call may or may not have run.")
MW_ERR(LOST, "generation_lost", 502, 0, 1,
       "The endpoint was lost; the answer cannot be completed.")
MW_ERR(UPSTREAM, "endpoint_error", 502, 0, 1, "The endpoint failed.")
MW_ERR(TIMEOUT, "timeout", 504, 0, 1, "The request timed out.")
MW_ERR(CANCELLED, "cancelled", 499, 0, 1, "The caller went away.")
MW_ERR(CORRUPT, "corrupt", 500, 0, 0, "Stored data is damaged.")
MW_ERR(IO, "io_error", 500, 0, 1, "Reading or writing failed.")
MW_ERR(AGAIN, "try_again", 503, 0, 1, "Not ready yet.")
MW_ERR(INTERNAL, "internal_error", 500, 0, 0, "Internal error.")
