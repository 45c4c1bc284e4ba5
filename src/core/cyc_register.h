/* Register of the backend servers and entry VMs of a cluster, as reported to
   one process by themselves or by other processes.  A restarted backend server
   is a new incarnation: the incarnation that started last owns the id.  An
   address may be claimed by several servers: an announcement takes it from no
   server, so that the order in which announcements arrive does not matter.
   Pure, one thread at a time.  */

#ifndef CYC_REGISTER_H
#define CYC_REGISTER_H

#include <ck_queue.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/cy_clock.h"
#include "core/cyi_document.h"
#include "cy.pb-c.h"

/* Time for which a removed incarnation is kept, so that its late announcements
   are refused, s.  */
#define CYC_TOMBSTONE_S 60

/* Removed incarnations that are kept; the oldest are dropped first.  */
#define CYC_TOMBSTONES_MAX 10000

/* One backend server.  Only the register writes its fields.  */
struct cyc_instance
{
  CK_LIST_ENTRY (cyc_instance) entry;
  Cy__Instance *info; /* age_ms and cold_ms are as of the last announcement */
  uint64_t hash;      /* of id and incarnation, names the server in renewals */
  cy_time_ns last_received; /* time of the newest announcement, direct or
                               through other processes */
  cy_time_ns last_direct;   /* time of the newest announcement to this process,
                               0: none */
  cy_time_ns cold_until;    /* end of the announced cold time, 0: warm */
  uint64_t sequence;        /* of the register at the last change */
  GPtrArray *claims; /* struct cyc_instance at its address, NULL: gone */
};

CK_LIST_HEAD (cyc_instances, cyc_instance);

/* One entry VM.  Only the register writes its fields.  */
struct cyc_entry
{
  CK_LIST_ENTRY (cyc_entry) entry;
  Cy__EntryVm *info;
  uint64_t hash; /* of VM and incarnation, names the entry VM in renewals */
  cy_time_ns last_received; /* time of the newest report, direct or through
                               other processes */
  cy_time_ns last_direct;   /* time of the newest report on a connection to
                               this process, 0: none or disconnected */
  uint64_t sequence;        /* of the register at the last change */
};

CK_LIST_HEAD (cyc_entries, cyc_entry);

struct cyc_register;

struct cyc_register *cyc_register_create (void);
void cyc_register_destroy (struct cyc_register *reg);

#define CYC_NAME_MAX_BYTES    100 /* of an id, a service or a zone */
#define CYC_INTEGER_MAX       ((1LL << 53) - 1) /* largest exact in JSON */
#define CYC_CLOCK_SKEW_MAX_MS (3600 * 1000)     /* between two VMs */

/* Returns the name of the first invalid field of INFO, NULL if there is none.
   UNIX_MS is the time of day, ms.  A start time more than
   CYC_CLOCK_SKEW_MAX_MS ahead is invalid: it would win against all later
   incarnations.  */
const char *cyc_register_invalid_field (const Cy__Instance *info,
                                        int64_t unix_ms);

/* Effect of an announcement on the register.  */
enum cyc_register_effect
{
  CYC_STALE,   /* refused: of an earlier incarnation or out of order */
  CYC_RENEWED, /* applied, but no change that other processes need */
  CYC_CHANGED  /* applied: other processes need the change */
};

/* Applies an announcement of a backend server, made INFO->age_ms before NOW.
   DIRECT: the server sent it to this process.  Copies INFO.  */
enum cyc_register_effect cyc_register_instance (struct cyc_register *reg,
                                                const Cy__Instance *info,
                                                bool direct, cy_time_ns now);

/* Records that INCARNATION of server ID reported in an answer that it leaves.
   This holds until a later incarnation of the server announces itself.  */
enum cyc_register_effect cyc_register_leaving (struct cyc_register *reg,
                                               const char *id,
                                               uint64_t incarnation);

/* Applies a report of an entry VM at NOW, otherwise like
   cyc_register_instance.  */
enum cyc_register_effect cyc_register_entry (struct cyc_register *reg,
                                             const Cy__EntryVm *info,
                                             bool direct, cy_time_ns now);

/* Records at NOW that entry VM VM sent an unchanged report to this process. */
void cyc_register_entry_renew (struct cyc_register *reg, const char *vm,
                               cy_time_ns now);

/* Records that the connection of entry VM VM to this process has ended.  */
void cyc_register_entry_disconnected (struct cyc_register *reg, const char *vm,
                                      cy_time_ns now);

/* Records at NOW that another process received an unchanged announcement or
   report of the server or entry VM with HASH.  */
void cyc_register_renew (struct cyc_register *reg, uint64_t hash,
                         cy_time_ns now);

/* Returns the sequence number, which increases with every change.  */
uint64_t cyc_register_sequence (const struct cyc_register *reg);

/* Returns the server with ID, owned by the register, NULL if there is none.
   Removed servers stay for CYC_TOMBSTONE_S, marked as gone.  */
struct cyc_instance *cyc_register_find (const struct cyc_register *reg,
                                        const char *id);
struct cyc_instances *cyc_register_instances (struct cyc_register *reg);
struct cyc_entries *cyc_register_entries (struct cyc_register *reg);

/* Returns another server that claims the address of INSTANCE, does not depart
   and is of a service that DOCUMENT declares; NULL if there is none or
   DOCUMENT is NULL.  */
const struct cyc_instance *
cyc_register_rival (const struct cyc_instance *instance,
                    const struct cyi_document *document);

/* Removes servers that have been gone for CYC_TOMBSTONE_S or exceed
   CYC_TOMBSTONES_MAX, servers without an announcement for INSTANCE_NS, and
   entry VMs without a report for ENTRY_NS.  A server that was draining or
   leaving counts as gone from then on, so that a late announcement of before
   does not make it ready.  Returns how many were removed or are gone.  */
unsigned cyc_register_expire (struct cyc_register *reg, cy_time_ns now,
                              cy_time_ns instance_ns, cy_time_ns entry_ns);

/* True when INSTANCE is gone, drains or leaves.  */
bool cyc_instance_departs (const struct cyc_instance *instance);

/* Returns the rest at NOW of the cold time that INSTANCE announced, ms.  */
uint32_t cyc_instance_cold_ms (const struct cyc_instance *instance,
                               cy_time_ns now);

#endif /* CYC_REGISTER_H */
