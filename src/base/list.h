#ifndef BASE_LIST_H
#define BASE_LIST_H

#include <stddef.h>

/*
 * Intrusive doubly linked circular list.  The head and the links embedded in
 * the objects are both struct list; list_entry() returns the object that
 * contains a link.
 */
struct list {
	struct list *next, *prev;
};

#define LIST_INIT(name)                                                        \
	{                                                                      \
		&(name), &(name)                                               \
	}

#define list_entry(ptr, type, member)                                          \
	((type *)((char *)(ptr)-offsetof(type, member)))

#define list_first(head, type, member) list_entry((head)->next, type, member)

#define list_for_each(pos, head)                                               \
	for ((pos) = (head)->next; (pos) != (head); (pos) = (pos)->next)

#define list_for_each_safe(pos, tmp, head)                                     \
	for ((pos) = (head)->next, (tmp) = (pos)->next; (pos) != (head);       \
	     (pos) = (tmp), (tmp) = (pos)->next)

#define list_for_each_entry(pos, head, member)                                 \
	for ((pos) = list_entry((head)->next, __typeof__(*(pos)), member);     \
	     &(pos)->member != (head);                                         \
	     (pos) = list_entry((pos)->member.next, __typeof__(*(pos)),        \
				member))

#define list_for_each_entry_safe(pos, tmp, head, member)                       \
	for ((pos) = list_entry((head)->next, __typeof__(*(pos)), member),     \
	    (tmp) = list_entry((pos)->member.next, __typeof__(*(pos)),         \
			       member);                                        \
	     &(pos)->member != (head);                                         \
	     (pos) = (tmp), (tmp) = list_entry((tmp)->member.next,             \
					       __typeof__(*(tmp)), member))

static inline void list_init(struct list *head)
{
	head->next = head->prev = head;
}

static inline int list_empty(const struct list *head)
{
	return head->next == head;
}

static inline void list_add(struct list *head, struct list *item)
{
	item->next = head->next;
	item->prev = head;
	head->next->prev = item;
	head->next = item;
}

static inline void list_add_tail(struct list *head, struct list *item)
{
	item->prev = head->prev;
	item->next = head;
	head->prev->next = item;
	head->prev = item;
}

/* Removes an item and reinitialises its links, so a second call is harmless. */
static inline void list_del(struct list *item)
{
	item->prev->next = item->next;
	item->next->prev = item->prev;
	list_init(item);
}

#endif
