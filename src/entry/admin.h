#ifndef ENTRY_ADMIN_H
#define ENTRY_ADMIN_H

#include "admin/admin.h"
#include "entry/entry.h"

/*
 * Operations behind the operators' interface on an entry host.  The context of
 * each is a struct entry.
 */
extern const struct admin_ops entry_admin_ops;

#endif
