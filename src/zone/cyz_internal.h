/* Types and functions shared by the files of the zone process only.  */

#ifndef CYZ_INTERNAL_H
#define CYZ_INTERNAL_H

#include <ck_queue.h>
#include <glib.h>

#include "core/cyq_node.h"
#include "core/cyt_merge.h"
#include "zone/cyz_child.h"
#include "zone/cyz_parent.h"
#include "zone/cyz_zone.h"

#define CYZ_STATUS_INTERVAL_MS 1000 /* interval of status objects */

/* One connection of an entry VM.  */
struct cyz_entry
{
  CK_STAILQ_ENTRY (cyz_entry) link;
  struct cyz_child child;
  uint64_t version; /* declared version that the entry VM has in force */
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
  struct cyt_merge *merge;         /* reports of the entry VMs */
  struct cyt_soft_state *view;     /* objects for the entry VMs */
  struct cyt_soft_state *splits;   /* split/VM objects of the entry VMs */
  struct cyt_soft_state *upstream; /* objects for the control VMs */
  uint64_t mirrored_epoch;       /* epoch of the parent's objects in `view` */
  uint64_t mirrored_sequence;    /* sequence number of these objects */
  GHashTable *view_update_times; /* key -> cy_time_ns of its last update */
  bool full_report_due;   /* the next report to the parent must be full */
  uint64_t upstream_sent; /* sequence number that the parent was sent */
  cy_time_ns last_report; /* time of the last report to the parent */
  bool children_changed;  /* entry VMs changed since the last report */
  cy_time_ns last_status; /* time of the last status of the zone */
  struct cyz_probes *probes;

  struct cyq_node *quota;

  struct cyn_timer *timer;
  struct cyn_timer *quota_timer;
  bool push_due;
  bool stopping;
  cy_time_ns stop_deadline; /* time at which a planned stop is forced */
  cyn_callback stopped;     /* called once after a planned stop, then NULL */
  void *stopped_context;
};

/* cyz_table.c  */

/* Applies REPORT of the entry VM ENTRY.  Closes the connection if REPORT is a
   delta of an unknown state, so that the entry VM sends a full report.  */
void cyz_table_apply_report (struct cyz_zone *zone, struct cyz_entry *entry,
                             const Cy__Report *report);

/* Copies changes of the parent's soft objects to the view.  */
void cyz_table_copy_parent (struct cyz_zone *zone);

/* Removes the objects of entry VMs whose reports have expired, and creates the
   zone's status when it is due.  */
void cyz_table_tick (struct cyz_zone *zone);

/* Sends a report with the changes that the current parent lacks, if there are
   any or the renewal is due.  */
void cyz_table_send_report (struct cyz_zone *zone);

/* Callback of the merge with the settled content of KEY, NULL if removed.  */
void cyz_table_on_settled (const char *key, const Cy__Object *object,
                           void *context);

/* cyz_probe.c  */
struct cyz_probes *cyz_probes_create (struct cyz_zone *zone);
void cyz_probes_destroy (struct cyz_probes *probes);
void cyz_probes_tick (struct cyz_probes *probes);

/* Stores the probe results since the last call in STATUS.  The caller frees
   the array and its members by g_free.  */
void cyz_probes_take_results (struct cyz_probes *probes,
                              Cy__ZoneStatus *status);

/* cyz_quota.c  */
void cyz_quota_start (struct cyz_zone *zone);
void cyz_quota_stop (struct cyz_zone *zone);
void cyz_quota_on_request (struct cyz_zone *zone, struct cyz_entry *entry,
                           const Cy__QuotaAsk *ask);
void cyz_quota_on_answer (struct cyz_zone *zone,
                          const Cy__QuotaAnswer *answer);

/* Sends a quota request to the control VM if one is due.  */
void cyz_quota_send_request (struct cyz_zone *zone);

/* Returns all quota to the control VM; true once the return is confirmed.  */
bool cyz_quota_return_all (struct cyz_zone *zone);

#endif /* CYZ_INTERNAL_H */
