/* Inside of the hub, shared by src/hub/cyc_*.c only.

   cyc_hub.c       life, listener, time
   cyc_log.c       replicated declaration and drains, calls on them
   cyc_links.c     connections among control VMs
   cyc_children.c  connections of entry VMs, what they are told
   cyc_announce.c  announcements of backend servers
   cyc_dispatch.c  placing of requests
   cyc_lending.c   slots and tokens that regions give each other
   cyc_join.c      membership of the log
   cyc_resolve.c   which entry VMs a caller should use  */

#ifndef CYC_INTERNAL_H
#define CYC_INTERNAL_H

#include <ck_queue.h>
#include <glib.h>

#include "control/cyx_replica.h"
#include "core/cyc_register.h"
#include "core/cyc_serving.h"
#include "core/cyi_send_schedule.h"
#include "core/cym_loans.h"
#include "core/cym_quota.h"
#include "core/cys_state.h"
#include "hub/cyc_hub.h"

#define CYC_HEARTBEAT_MS 250  /* ms between two messages of a link at rest */
#define CYC_RENEW_MS     1000 /* ms between two lists of what was heard again */
#define CYC_LIVE_MS                                                           \
  1000 /* ms of silence until a control VM counts as down                     \
        */
#define CYC_ENTRY_MS                                                          \
  2000 /* ms of silence until an entry VM counts as down                      \
        */
#define CYC_PART_MS                                                           \
  15000 /* ms for which a silent one keeps its part of rates */
#define CYC_INSTANCE_MS 8000 /* ms of silence until a server is forgotten */
#define CYC_ACK_MS      900  /* ms that an announcement waits for the others */
#define CYC_FLUSH_MS    2    /* ms in which changes are collected */
#define CYC_KNOWN_MS    60000 /* ms until a silent control VM is forgotten */

/* Another control VM.  */
struct cyc_peer
{
  CK_LIST_ENTRY (cyc_peer) entry;
  struct cyc_hub *hub;
  char *host;
  char *vm; /* NULL until it was heard */
  char *zone;
  char *region;
  uint16_t http_port;
  uint64_t member;
  uint64_t folder;
  struct cyn_conn *conn; /* own, for sending; or NULL */
  struct cyn_timer *redial;
  int64_t backoff_ms;
  uint64_t sent;     /* sequence of the register sent on CONN */
  cy_time_ns said;   /* when it was last sent anything */
  cy_time_ns heard;  /* 0: never */
  cy_time_ns known;  /* since when */
  uint64_t epoch;    /* of its register, as it said */
  uint64_t sequence; /* of its register, taken in here */
  uint64_t acked;    /* of this register, taken in there */
  bool acks_due;     /* it waits to hear what was taken in here */
  bool isolated;
  bool wants_join;
  bool leads;
  uint64_t committed;
  GHashTable *lent;   /* servers that it lends slots of: id to uint64_t born */
  uint32_t attached;  /* entry VMs whose requests it places */
  GHashTable *placed; /* service to struct cym_retry_last_report */
};

/* What another region could use of one service here, in slots.  */
struct cyc_loan_request
{
  char region[CYM_NAME_MAX];
  char service[CYM_NAME_MAX];
  double homed; /* for requests that only this region may serve */
  double spill; /* for those that find no room there */
  struct cym_loan_target lent;
  cy_time_ns at;
};

/* An entry VM's connection.  */
struct cyc_child
{
  CK_LIST_ENTRY (cyc_child) entry;
  struct cyc_hub *hub;
  struct cyn_conn *conn;
  char *vm; /* NULL until it reported */
  char *zone;
  char *region;
  struct cyi_send_schedule sending; /* of declarations */
  cy_time_ns heard;
  uint64_t epoch; /* of the register that it holds */
  uint64_t sequence;
  uint64_t sent;    /* sequence of the register sent */
  uint64_t report;  /* number to echo */
  bool due;         /* has to be told something */
  GHashTable *jobs; /* &number to struct cyc_job */
};

CK_LIST_HEAD (cyc_peers, cyc_peer);
CK_LIST_HEAD (cyc_children, cyc_child);

struct cyc_hub
{
  struct cyc_hub_options options;
  const struct cy_clock *clock;
  uint64_t epoch; /* of the register */

  /* cyc_log.c */
  struct cyx_replica *replica;
  struct cys_state *state;
  uint64_t member;
  uint64_t folder;
  uint64_t calls;        /* numbers request ids */
  GPtrArray *drained;    /* char *, zones */
  GHashTable *undrained; /* zone to cy_time_ns since when */
  struct cyi_document *document;
  struct cyc_serving standing;

  struct cyn_listener *listener;
  struct cyn_timer *beat;
  struct cyn_timer *flush;
  cy_time_ns renewed;
  struct cyc_register *reg;
  struct cyc_peers peers;
  struct cyc_children children;
  GQueue waits; /* struct cyc_wait: announcements that wait for others */

  /* cyc_dispatch.c */
  struct cym_match *match;
  struct cym_quota *quota;
  struct cyn_timer *match_timer;
  struct cym_loans *loans;
  GHashTable *wants; /* "REGION/SERVICE" to struct cyc_loan_request */
  CK_LIST_HEAD (cyc_jobs, cyc_job) jobs;
  unsigned entries; /* known in the own region */
  unsigned attached;

  /* cyc_retry_budget.c */
  cy_time_ns created;
  bool hears_all;              /* the placers of all regions */
  GHashTable *refused_repeats; /* service to uint64_t, as last reported */
  cy_time_ns reported;

  bool flushing;            /* the flush timer runs */
  struct cyn_timer *follow; /* looks at the state once it has settled */
  bool told_anew;           /* every entry VM has to be told */
  GPtrArray *texts; /* struct cyc_text, the newest last; NULL: none yet */
  bool was_isolated;
  bool served; /* at the last beat */
  bool leaving;
  cyn_fn stopped;
  void *stopped_context;
  int stop_looks;
  struct cyn_timer *stop_timer;
};

static inline cy_time_ns
cyc_now (const struct cyc_hub *hub)
{
  return cy_clock_now (hub->clock);
}

/* ---- cyc_log.c */
cy_result cyc_log_create (struct cyc_hub *hub);
void cyc_log_destroy (struct cyc_hub *hub);
bool cyc_log_is_drained (const struct cyc_hub *hub, const char *zone);

/* Until when the servers of ZONE count as cold since it was taken back.  */
cy_time_ns cyc_log_cold_until (const struct cyc_hub *hub, const char *zone);

/* ---- cyc_links.c */
void cyc_links_create (struct cyc_hub *hub);
void cyc_links_destroy (struct cyc_hub *hub);
void cyc_links_message (struct cyc_hub *hub, const Cy__HubSync *sync);

/* Sends every peer what it lacks; BEAT: also when it lacks nothing.  */
void cyc_links_send (struct cyc_hub *hub, bool beat);
bool cyc_peer_is_live (const struct cyc_peer *peer, cy_time_ns now);
void cyc_links_heartbeat (struct cyc_hub *hub);

/* True when this VM reaches no majority of the members.  */
bool cyc_links_isolated (const struct cyc_hub *hub);

/* True when a control VM in reach is the leader and ready.  */
bool cyc_links_led (const struct cyc_hub *hub);

/* ---- cyc_children.c */
void cyc_children_open (struct cyc_hub *hub, struct cyn_conn *conn);
void cyc_children_close (struct cyc_hub *hub, struct cyn_conn *conn);
void cyc_children_report (struct cyc_hub *hub, struct cyn_conn *conn,
                          const Cy__EntryReport *report);
void cyc_children_tell (struct cyc_hub *hub);

/* DOCUMENT is in force from now on; entry VMs are told with the next flush. */
void cyc_children_document (struct cyc_hub *hub, const Cy__Document *document);
struct cyc_child *cyc_children_find (struct cyc_hub *hub,
                                     const struct cyn_conn *conn);

/* ---- cyc_announce.c */
void cyc_announce_check (struct cyc_hub *hub);
void cyc_announce_destroy (struct cyc_hub *hub);

/* ---- cyc_dispatch.c */
void cyc_dispatch_create (struct cyc_hub *hub);
void cyc_dispatch_destroy (struct cyc_hub *hub);
void cyc_dispatch_ask (struct cyc_hub *hub, struct cyc_child *child,
                       const Cy__PlaceAsk *ask);
void cyc_dispatch_done (struct cyc_hub *hub, struct cyc_child *child,
                        const Cy__PlaceDone *done);

/* CHILD is gone: what waits for it is dropped, what was placed runs on.  */
void cyc_dispatch_lose (struct cyc_hub *hub, struct cyc_child *child);

/* The register, the drained zones or the document changed.  */
void cyc_dispatch_update (struct cyc_hub *hub);

/* Counts the entry VMs of the region and those placed here anew.  */
void cyc_dispatch_share (struct cyc_hub *hub);
void cyc_dispatch_heartbeat (struct cyc_hub *hub);

/* ---- cyc_lending.c */
void cyc_lending_fill (struct cyc_hub *hub, Cy__HubSync *sync);
void cyc_lending_clear (Cy__HubSync *sync);
void cyc_lending_take (struct cyc_hub *hub, struct cyc_peer *peer,
                       const Cy__HubSync *sync);
void cyc_lending_heartbeat (struct cyc_hub *hub);
void cyc_lending_create (struct cyc_hub *hub);
void cyc_lending_destroy (struct cyc_hub *hub);
void cyc_lending_gift (struct cyc_hub *hub, const Cy__TokenGift *gift);

/* ---- cyc_retry_budget.c */
void cyc_retry_budget_fill (struct cyc_hub *hub, Cy__HubSync *sync);
void cyc_retry_budget_clear (Cy__HubSync *sync);
void cyc_retry_budget_take (struct cyc_hub *hub, struct cyc_peer *peer,
                            const Cy__HubSync *sync);

/* Looks whether the placers of all regions are heard; once a second it counts
   what the budgets granted and refused.  */
void cyc_retry_budget_heartbeat (struct cyc_hub *hub);
void cyc_retry_budget_create (struct cyc_hub *hub);
void cyc_retry_budget_destroy (struct cyc_hub *hub);

/* ---- cyc_join.c */
void cyc_join_heartbeat (struct cyc_hub *hub);
bool cyc_join_has (const struct cyc_hub *hub, uint64_t member);
bool cyc_join_is_member (const struct cyc_hub *hub);

/* ---- cyc_hub.c */

/* Something changed that others have to hear of soon.  */
void cyc_hub_changed (struct cyc_hub *hub);

/* True when entry VMs may use the declaration that is held here.  */
bool cyc_hub_serves (const struct cyc_hub *hub);

/* Looks whether the declaration from the disk may be used.  */
void cyc_hub_look (struct cyc_hub *hub);

#endif /* CYC_INTERNAL_H */
