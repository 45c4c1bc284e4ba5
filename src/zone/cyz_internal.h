/* Shared by the files of the zone process only.  */

#ifndef CYZ_INTERNAL_H
#define CYZ_INTERNAL_H

#include <ck_queue.h>
#include <glib.h>

#include "core/cyq_node.h"
#include "core/cyt_merge.h"
#include "zone/cyz_child.h"
#include "zone/cyz_parent.h"
#include "zone/cyz_zone.h"

#define CYZ_STATUS_MS 1000 /* ms between two statuses of the zone */

/* One connection of an entry VM.  */
struct cyz_entry
{
  CK_STAILQ_ENTRY (cyz_entry) link;
  struct cyz_child child;
  uint64_t version; /* declared state in force there */
};

struct cyz_probes;

struct cyz_zone
{
  struct cyz_options options;
  const struct cy_clock *clock;
  struct cyz_parent *parent;
  struct cyn_listener *listener;
  CK_STAILQ_HEAD (cyz_entry_list, cyz_entry) entries;
  GArray *modules; /* struct cyz_module */

  /* Soft objects.  */
  struct cyt_merge *merge;       /* of the entry VMs' reports */
  struct cyt_soft_state *view;   /* what entry VMs get */
  struct cyt_soft_state *splits; /* split/VM */
  struct cyt_soft_state *up;     /* what goes to the control VMs */
  uint64_t mirrored_epoch;       /* of the parent's objects in the view */
  uint64_t mirrored;
  GHashTable *damped; /* cy_time_ns of the last put, by key */
  bool up_whole;      /* the current parent needs everything */
  uint64_t up_sent;   /* sequence that the current parent holds */
  cy_time_ns up_last; /* when it was last told */
  bool children_changed;
  cy_time_ns status_made;
  struct cyz_probes *probes;

  struct cyq_node *quota;

  struct cyn_timer *timer;
  struct cyn_timer *quota_timer;
  bool push_due;
  bool stopping;
  cy_time_ns stop_by;
  cyn_fn stopped;
  void *stopped_context;
};

/* cyz_table.c  */

/* Takes in the report of an entry VM.  */
void cyz_table_report (struct cyz_zone *zone, struct cyz_entry *entry,
                       const Cy__Report *report);

/* Takes over what the parent's soft objects changed.  */
void cyz_table_mirror (struct cyz_zone *zone);

/* Forgets silent entry VMs and makes the zone's status when it is due.  */
void cyz_table_tick (struct cyz_zone *zone);

/* Sends what the current parent does not hold yet.  */
void cyz_table_send (struct cyz_zone *zone);

void cyz_table_settled (const char *key, const Cy__Object *object,
                        void *context);

/* cyz_probe.c  */
struct cyz_probes *cyz_probes_create (struct cyz_zone *zone);
void cyz_probes_destroy (struct cyz_probes *probes);
void cyz_probes_tick (struct cyz_probes *probes);

/* Stores the results since the last call in STATUS; the array and its members
   are freed by the caller with g_free.  */
void cyz_probes_read (struct cyz_probes *probes, Cy__ZoneStatus *status);

/* cyz_quota.c  */
void cyz_quota_start (struct cyz_zone *zone);
void cyz_quota_stop (struct cyz_zone *zone);
void cyz_quota_ask (struct cyz_zone *zone, struct cyz_entry *entry,
                    const Cy__QuotaAsk *ask);
void cyz_quota_answer (struct cyz_zone *zone, const Cy__QuotaAnswer *answer);

/* Asks the control VM for what is due.  */
void cyz_quota_send (struct cyz_zone *zone);

/* Hands everything back; true when nothing is left.  */
bool cyz_quota_return (struct cyz_zone *zone);

#endif /* CYZ_INTERNAL_H */
