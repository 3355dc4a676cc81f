#include <string.h>
#include <glib.h>
#include <xxhash.h>

#include "base/cleanup.h"
#include "base/err.h"
#include "state/pb.h"
#include "state/sm_int.h"

/*
 * Format of a snapshot: "MWSM", then records, each a 4-byte length and an
 * encoded SnapRecord, then a length of 0 and the XXH64 hash of all bytes
 * before the hash.  Integers are little-endian.  Records are sorted by the
 * field number of their body; there is exactly one header and one tree.
 */
#define SNAP_MAGIC "MWSM"
#define SNAP_MAGIC_LEN 4
#define SNAP_FORMAT 1
#define SNAP_CHECKSUM_LEN 8

static void add_u32(struct buf *out, size_t v)
{
	uint32_t le = GUINT32_TO_LE((uint32_t)v);

	buf_add(out, &le, sizeof(le));
}

static void add_record(struct buf *out, Mw__SnapRecord__BodyCase kind,
		       const void *msg)
{
	Mw__SnapRecord rec = MW__SNAP_RECORD__INIT;

	rec.body_case = kind;
	rec.header = (Mw__SnapHeader *)msg;
	add_u32(out, mw__snap_record__get_packed_size(&rec));
	pb_pack(out, &rec.base);
}

static void add_ledger(const Mw__SnapLedger *rec, void *out)
{
	add_record(out, MW__SNAP_RECORD__BODY_LEDGER, rec);
}

static void add_order(const Mw__SnapOrder *rec, void *out)
{
	add_record(out, MW__SNAP_RECORD__BODY_ORDER, rec);
}

static void add_crash(const Mw__SnapCrash *rec, void *out)
{
	add_record(out, MW__SNAP_RECORD__BODY_CRASH, rec);
}

static void add_departure(const Mw__SnapDeparture *rec, void *out)
{
	add_record(out, MW__SNAP_RECORD__BODY_DEPARTURE, rec);
}

static void add_tree(const struct tree *tree, struct buf *out)
{
	Mw__SnapRecord rec = MW__SNAP_RECORD__INIT;

	rec.body_case = MW__SNAP_RECORD__BODY_TREE;
	rec.tree.data = (uint8_t *)tree_json(tree, &rec.tree.len);
	add_u32(out, mw__snap_record__get_packed_size(&rec));
	pb_pack(out, &rec.base);
}

void sm_snapshot(const struct sm *sm, struct buf *out)
{
	Mw__SnapHeader header = MW__SNAP_HEADER__INIT;
	size_t start = out->len;
	uint64_t checksum;

	buf_add(out, SNAP_MAGIC, SNAP_MAGIC_LEN);
	header.format = SNAP_FORMAT;
	header.term = sm->term;
	header.index = sm->index;
	header.now_ms = sm->now_ms;
	header.member_version = member_version(sm->members);
	header.suspect_version = crash_version(sm->crash);
	add_record(out, MW__SNAP_RECORD__BODY_HEADER, &header);
	add_tree(sm->tree, out);
	for (size_t i = 0; i < history_count(sm->history); i++)
		add_record(out, MW__SNAP_RECORD__BODY_HISTORY,
			   history_at(sm->history, i));
	for (size_t i = 0; i < member_count(sm->members); i++) {
		const struct member_host *h = member_at(sm->members, i);
		Mw__SnapHost rec = MW__SNAP_HOST__INIT;

		rec.info = h->info;
		rec.since_version = h->since_version;
		rec.anchor = h->anchor;
		add_record(out, MW__SNAP_RECORD__BODY_HOST, &rec);
	}
	ledger_save(sm->ledger, add_ledger, out);
	order_save(sm->orders, add_order, out);
	crash_for_each(sm->crash, add_crash, out);
	departures_for_each(sm->departures, add_departure, out);
	add_u32(out, 0);
	checksum = GUINT64_TO_LE(XXH64(out->data + start, out->len - start, 0));
	buf_add(out, &checksum, sizeof(checksum));
}

uint64_t sm_hash(const struct sm *sm)
{
	AUTO_BUF struct buf b = BUF_INIT;

	sm_snapshot(sm, &b);
	return XXH64(b.data, b.len, 0);
}

struct loader {
	struct sm *sm;
	Mw__SnapRecord__BodyCase last_kind; /* of the previous record */
	uint64_t member_version, suspect_version;
};

static int load_header(struct loader *ld, const Mw__SnapHeader *h)
{
	if (h->format != SNAP_FORMAT)
		return -MW_ECORRUPT;
	ld->sm->term = h->term;
	ld->sm->index = h->index;
	ld->sm->now_ms = h->now_ms;
	ld->member_version = h->member_version;
	ld->suspect_version = h->suspect_version;
	return 0;
}

static int load_tree(struct loader *ld, const ProtobufCBinaryData *json)
{
	struct tree_err err;
	const char *text;
	size_t len;

	tree_unref(ld->sm->tree);
	ld->sm->tree = NULL;
	if (tree_parse((const char *)json->data, json->len, &ld->sm->tree,
		       &err))
		return -MW_ECORRUPT;
	text = tree_json(ld->sm->tree, &len);
	if (len != json->len || memcmp(text, json->data, len) != 0)
		return -MW_ECORRUPT;
	return 0;
}

static int load_history(struct loader *ld, Mw__SnapHistory **e)
{
	struct history *h = ld->sm->history;
	size_t left_out = 0;

	for (size_t i = 0; i < (*e)->n_left_out; i++)
		left_out += strlen((*e)->left_out[i]);
	if (!*(*e)->id || strlen((*e)->id) > TREE_CHANGE_ID_MAX ||
	    history_find(h, (*e)->id) || history_count(h) >= HISTORY_MAX ||
	    (!(*e)->err && (*e)->version > tree_version(ld->sm->tree)) ||
	    left_out > TREE_JSON_MAX)
		return -MW_ECORRUPT;
	history_add(h, steal_ptr(e));
	return 0;
}

static int load_ledger(struct loader *ld, const Mw__SnapLedger *rec)
{
	if (rec->changed_ms > ld->sm->now_ms)
		return -MW_ECORRUPT;
	/*
	 * Without its host incarnation a started key would stay started for
	 * ever: only that incarnation ends it, or its removal.
	 */
	if (rec->state == LEDGER_STARTED &&
	    !member_is_registered(ld->sm->members, rec->host, rec->incarnation))
		return -MW_ECORRUPT;
	return ledger_load(ld->sm->ledger, rec);
}

static int load_record(struct loader *ld, Mw__SnapRecord *rec)
{
	bool in_order =
		ld->last_kind < MW__SNAP_RECORD__BODY_TREE
			? rec->body_case == ld->last_kind + 1
			: rec->body_case >= ld->last_kind &&
				  rec->body_case != MW__SNAP_RECORD__BODY_TREE;

	if (!in_order)
		return -MW_ECORRUPT;
	ld->last_kind = rec->body_case;
	switch (rec->body_case) {
	case MW__SNAP_RECORD__BODY_HEADER:
		return load_header(ld, rec->header);
	case MW__SNAP_RECORD__BODY_TREE:
		return load_tree(ld, &rec->tree);
	case MW__SNAP_RECORD__BODY_HISTORY:
		return load_history(ld, &rec->history);
	case MW__SNAP_RECORD__BODY_HOST:
		return member_load(ld->sm->members, rec->host);
	case MW__SNAP_RECORD__BODY_LEDGER:
		return load_ledger(ld, rec->ledger);
	case MW__SNAP_RECORD__BODY_ORDER:
		return order_load(ld->sm->orders, rec->order);
	case MW__SNAP_RECORD__BODY_CRASH:
		if (rec->crash->marked_ms > ld->sm->now_ms)
			return -MW_ECORRUPT;
		return crash_load(ld->sm->crash, rec->crash);
	case MW__SNAP_RECORD__BODY_DEPARTURE:
		if (rec->departure->at_ms > ld->sm->now_ms)
			return -MW_ECORRUPT;
		return departure_load(ld->sm->departures, rec->departure);
	default:
		return -MW_ECORRUPT;
	}
}

static int load_records(struct loader *ld, const uint8_t *p, size_t len)
{
	uint32_t n = 0;

	for (;;) {
		Mw__SnapRecord *rec;
		int err;

		if (len < sizeof(n))
			return -MW_ECORRUPT;
		memcpy(&n, p, sizeof(n));
		n = GUINT32_FROM_LE(n);
		p += sizeof(n);
		len -= sizeof(n);
		if (!n)
			break;
		if (n > len)
			return -MW_ECORRUPT;
		rec = mw__snap_record__unpack(NULL, n, p);
		if (!rec)
			return -MW_ECORRUPT;
		err = load_record(ld, rec);
		mw__snap_record__free_unpacked(rec, NULL);
		if (err)
			return err;
		p += n;
		len -= n;
	}
	if (len || ld->last_kind < MW__SNAP_RECORD__BODY_TREE)
		return -MW_ECORRUPT;
	crash_load_end(ld->sm->crash, ld->suspect_version);
	return member_load_end(ld->sm->members, ld->member_version);
}

int sm_restore(const void *data, size_t len, struct sm **out)
{
	struct loader ld = {.sm = NULL};
	uint64_t checksum;
	int err;

	if (len < SNAP_MAGIC_LEN + SNAP_CHECKSUM_LEN ||
	    memcmp(data, SNAP_MAGIC, SNAP_MAGIC_LEN) != 0)
		return -MW_ECORRUPT;
	len -= SNAP_CHECKSUM_LEN;
	memcpy(&checksum, (const char *)data + len, sizeof(checksum));
	if (GUINT64_FROM_LE(checksum) != XXH64(data, len, 0))
		return -MW_ECORRUPT;
	ld.sm = sm_new();
	err = load_records(&ld, (const uint8_t *)data + SNAP_MAGIC_LEN,
			   len - SNAP_MAGIC_LEN);
	if (err) {
		sm_free(ld.sm);
		return err;
	}
	*out = ld.sm;
	return 0;
}
