/* Lookup table from blocks of client addresses to sites: longest prefix match
   over IPv4 and IPv6.

   The table is a trie with a root of 2^16 slots and inner nodes of 2^8 slots.
   A slot holds the site of the longest prefix that ends at the slot's depth,
   and a child: another node, or a leaf, which is a short array of longer
   prefixes.  A leaf with more than CYL_LEAF_MAX prefixes is replaced by a
   node.

   One writer and any number of readers may use the table concurrently; readers
   take no lock.  The writer replaces one leaf atomically, or updates the slots
   of a node one after another, so a reader finds either the previous or the
   new site of a prefix.  The writer passes removed memory to the RETIRE
   function of the reclaimer, which frees it when no reader can access it any
   more.  */

#ifndef CYL_TABLE_H
#define CYL_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "cy_result.h"

#define CYL_SITE_NONE UINT16_MAX /* no prefix matches the address */
#define CYL_LEAF_MAX  12         /* maximum number of prefixes in a leaf */

/* An address, left-aligned in 128 bits, in host byte order.  */
struct cyl_address
{
  uint64_t high; /* first 64 bits */
  uint64_t low;  /* last 64 bits; 0 for IPv4 */
  bool v6;       /* IPv6 address */
};

struct cyl_prefix
{
  struct cyl_address address; /* bits past LENGTH are zero */
  uint8_t length;             /* number of bits */
};

/* Deferred release of memory that readers may still access.  */
struct cyl_reclaim
{
  /* Frees MEMORY with g_free once no reader accesses it; called on the
     writer's thread.  */
  void (*retire) (void *memory, void *context);
  void *context;
};

struct cyl_table;

/* Returns an empty table.  The caller frees it with cyl_table_destroy when no
   reader uses it any more.  RECLAIM is copied.  */
struct cyl_table *cyl_table_create (const struct cyl_reclaim *reclaim);
void cyl_table_destroy (struct cyl_table *table);

/* Adds PREFIX with SITE, which is not CYL_SITE_NONE, or replaces the site of
   PREFIX.  Only for the writer's thread.  */
void cyl_table_put (struct cyl_table *table, const struct cyl_prefix *prefix,
                    uint16_t site);

/* Removes PREFIX.  Returns CY_E_NOT_FOUND when the table does not contain it.
   Only for the writer's thread.  */
cy_result cyl_table_remove (struct cyl_table *table,
                            const struct cyl_prefix *prefix);

/* Returns the site of exactly PREFIX, or CYL_SITE_NONE when the table does not
   contain it.  Only for the writer's thread.  */
uint16_t cyl_table_get (const struct cyl_table *table,
                        const struct cyl_prefix *prefix);

/* Returns the site of the longest prefix that matches ADDRESS, or
   CYL_SITE_NONE if there is none.  Any thread may call it; takes no lock.  */
uint16_t cyl_table_find (const struct cyl_table *table,
                         const struct cyl_address *address);

/* Return the number of prefixes and the approximate memory use in bytes,
   including the writer's index.  */
size_t cyl_table_count (const struct cyl_table *table);
size_t cyl_table_bytes (const struct cyl_table *table);

/* Parses "10.1.0.0/16", "2001:db8::/32", or an address without a length, which
   is a prefix of full length.  Returns CY_E_BLOCK_INVALID when TEXT is
   malformed or has bits set past the length.  */
cy_result cyl_prefix_parse (const char *text, struct cyl_prefix *prefix);

/* Parses an IP address; an IPv4-mapped IPv6 address becomes an IPv4 address.
   Returns CY_E_BLOCK_INVALID when TEXT is malformed.  */
cy_result cyl_address_parse (const char *text, struct cyl_address *address);

#endif /* CYL_TABLE_H */
