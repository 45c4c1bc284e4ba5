/* Register of a cluster: the backend servers and entry VMs that are there, as
   heard by one process, itself or through others.  A backend server that
   starts again is another incarnation: the later start wins its name and its
   address.  Pure, one thread at a time.  */

#ifndef CYC_REGISTER_H
#define CYC_REGISTER_H

#include <ck_queue.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/cy_clock.h"
#include "cy.pb-c.h"

#define CYC_TOMBSTONE_S 60 /* s that the end of an incarnation is remembered  \
                            */

/* One backend server.  Fields are the register's to change.  */
struct cyc_instance
{
  CK_LIST_ENTRY (cyc_instance) entry;
  Cy__Instance *facts;   /* age_ms and cold_ms as of HEARD */
  uint64_t hash;         /* of id and start, names it in renewals */
  cy_time_ns heard;      /* newest sign of it, from anybody */
  cy_time_ns direct;     /* newest that came to this process, 0: none */
  cy_time_ns cold_until; /* as announced */
  uint64_t sequence;     /* of the register at its last change */
};

CK_LIST_HEAD (cyc_instances, cyc_instance);

/* One entry VM.  */
struct cyc_entry
{
  CK_LIST_ENTRY (cyc_entry) entry;
  Cy__EntryVm *facts;
  uint64_t hash;
  cy_time_ns heard;
  cy_time_ns direct;
  uint64_t sequence;
};

CK_LIST_HEAD (cyc_entries, cyc_entry);

struct cyc_register;

struct cyc_register *cyc_register_create (void);
void cyc_register_destroy (struct cyc_register *reg);

#define CYC_NAME_MAX_BYTES    100 /* bytes of a name in an entry */
#define CYC_INTEGER_MAX       ((1LL << 53) - 1) /* that JSON can hold exactly */
#define CYC_CLOCK_SKEW_MAX_MS (3600 * 1000) /* ms by which clocks may differ  \
                                             */

/* Returns the name of a field of FACTS that no backend server says of itself,
   NULL if there is none.  UNIX_MS is the time of day: one that says to have
   started much later would win against all that follow it.  */
const char *cyc_register_invalid_field (const Cy__Instance *facts,
                                        int64_t unix_ms);

/* What an announcement told.  */
enum cyc_register_effect
{
  CYC_STALE,   /* of an earlier incarnation or out of turn */
  CYC_RENEWED, /* it is still there */
  CYC_CHANGED  /* something that others must know */
};

/* Takes in what a backend server said, at NOW less FACTS->age_ms.  DIRECT: it
   said so to this process.  Copies FACTS.  */
enum cyc_register_effect cyc_register_instance (struct cyc_register *reg,
                                                const Cy__Instance *facts,
                                                bool direct, cy_time_ns now);
enum cyc_register_effect cyc_register_entry (struct cyc_register *reg,
                                             const Cy__EntryVm *facts,
                                             bool direct, cy_time_ns now);

/* The connection of entry VM VM to this process has ended.  */
void cyc_register_entry_disconnected (struct cyc_register *reg, const char *vm,
                                      cy_time_ns now);

/* Another process has heard again what HASH names.  */
void cyc_register_renew (struct cyc_register *reg, uint64_t hash,
                         cy_time_ns now);

/* Rises with every change.  */
uint64_t cyc_register_sequence (const struct cyc_register *reg);

/* Borrowed; NULL when it is not there.  Gone ones stay for a while, with
   facts->gone set.  */
struct cyc_instance *cyc_register_find (const struct cyc_register *reg,
                                        const char *id);
struct cyc_instances *cyc_register_instances (struct cyc_register *reg);
struct cyc_entries *cyc_register_entries (struct cyc_register *reg);

/* Forgets what has been gone for CYC_TOMBSTONE_S and what was not heard of for
   INSTANCE_NS and ENTRY_NS.  Returns how many.  */
unsigned cyc_register_expire (struct cyc_register *reg, cy_time_ns now,
                              cy_time_ns instance_ns, cy_time_ns entry_ns);

/* What is left at NOW of the cold time that INSTANCE announced, ms.  */
uint32_t cyc_instance_cold_ms (const struct cyc_instance *instance,
                               cy_time_ns now);

#endif /* CYC_REGISTER_H */
