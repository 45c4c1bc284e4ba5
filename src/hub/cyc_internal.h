/* Internal interface of the hub, for src/hub/cyc_*.c only.

   cyc_hub.c           creation and stop, listener, periodic work
   cyc_log.c           replicated declaration and drains, and calls on them
   cyc_links.c         connections among control VMs
   cyc_children.c      connections of entry VMs, and the views sent to them
   cyc_announce.c      announcements of backend servers
   cyc_departures.c    backend servers that leave or drain, on the disk
   cyc_dispatch.c      placing of requests
   cyc_lending.c       slots and tokens that regions exchange
   cyc_retry_budget.c  exchange of request and retry counts among placers
   cyc_join.c          membership of the log
   cyc_voter_watch.c   metrics and log lines on the voters that may be lost
   cyc_resolve.c       choice of the entry VMs that a caller should use  */

#ifndef CYC_INTERNAL_H
#define CYC_INTERNAL_H

#include <ck_queue.h>
#include <glib.h>

#include "control/cyx_replica.h"
#include "core/cyc_register.h"
#include "core/cyc_serving.h"
#include "core/cyc_stored.h"
#include "core/cyc_view_schedule.h"
#include "core/cyc_voters.h"
#include "core/cyi_send_schedule.h"
#include "core/cym_loans.h"
#include "core/cym_quota.h"
#include "core/cys_state.h"
#include "hub/cyc_hub.h"

/* Interval between two messages on a link without changes, ms.  */
#define CYC_HEARTBEAT_MS 250

/* Interval between two lists of renewals, ms.  A list names the servers and
   entry VMs that have reported to this process since the last list, with or
   without a change.  */
#define CYC_RENEWAL_INTERVAL_MS 1000

/* Time without a message after which a control VM counts as down, ms.  */
#define CYC_PEER_TIMEOUT_MS 1000

/* Time without a message after which an entry VM is no longer given to
   callers, ms.  */
#define CYC_ENTRY_TIMEOUT_MS 2000

/* Time without a message after which an entry VM is removed from the register,
   ms.  Until then its share of the rates stays reserved.  */
#define CYC_ENTRY_EXPIRY_MS 15000

/* Time without an announcement after which a backend server is removed from
   the register, ms.  */
#define CYC_INSTANCE_EXPIRY_MS 8000

/* Time in which the other control VMs have to acknowledge an announcement,
   ms.  */
#define CYC_ANNOUNCE_ACK_TIMEOUT_MS 900

/* Time in which changes are collected into one message, ms.  */
#define CYC_FLUSH_DELAY_MS 2

/* Time without a message after which a control VM that is no member of the log
   is removed, ms.  */
#define CYC_PEER_EXPIRY_MS 60000

/* Interval between two messages to a control VM with the names of this one and
   the addresses of the others, ms.  */
#define CYC_NAMES_INTERVAL_MS 4000

/* Another control VM.  */
struct cyc_peer
{
  CK_LIST_ENTRY (cyc_peer) entry;
  struct cyc_hub *hub;
  char *host;
  char *vm; /* NULL until the first message has arrived */
  char *zone;
  char *region;
  uint16_t http_port;
  uint64_t member;       /* id in the log */
  struct cyn_conn *conn; /* opened here, used for sending only; or NULL */
  struct cyn_timer *redial_timer;
  int64_t backoff_ms;         /* delay of the next dial */
  uint64_t sent_sequence;     /* of this register, sent on CONN */
  cy_time_ns last_sent;       /* time of the last message on CONN, 0: none */
  cy_time_ns names_sent_at;   /* time of the last message on CONN with names
                                 of control VMs, 0: none */
  cy_time_ns last_received;   /* time of the last message, 0: none */
  cy_time_ns added_at;        /* time at which the address became known */
  uint64_t epoch;             /* of the peer's register */
  uint64_t received_sequence; /* of the peer's register, applied here */
  struct cyc_stored stored;   /* of RECEIVED_SEQUENCE, on the disk here */
  uint64_t acked_sequence;    /* of this register, applied by the peer */
  uint64_t acked_stored;      /* of this register, the departures up to it are
                                 on the peer's disk */
  bool ack_due;               /* the peer needs RECEIVED_SEQUENCE */
  bool isolated;              /* the peer reaches no majority */
  bool wants_join;            /* the peer is no member of the log yet */
  bool fresh;                 /* the peer joins with an empty folder */
  bool leaving;               /* the peer stops as planned */
  cy_time_ns admission_tried_at; /* time of the last attempt to make the peer a
                                    member, 0: none */
  bool is_leader;                /* the peer leads the log and is ready */
  uint64_t committed_count;      /* log index that the peer has committed */
  GHashTable *borrowed;          /* servers of the peer's region with slots on
                                    loan here: id to uint64_t incarnation */
  uint32_t attached_entries;     /* entry VMs whose requests the peer places */
  GHashTable *placed_counts;     /* service to struct cym_retry_last_report */
};

/* Slots of one service here that the placer of another region could use.  */
struct cyc_loan_request
{
  char region[CYM_NAME_MAX];
  char service[CYM_NAME_MAX];
  double homed_slots;     /* for requests that only this region may serve */
  double spillover_slots; /* for requests without a free slot in REGION */
  struct cym_loan_target target;
  cy_time_ns received_at;
};

/* Connection of one entry VM.  */
struct cyc_child
{
  CK_LIST_ENTRY (cyc_child) entry;
  struct cyc_hub *hub;
  struct cyn_conn *conn;
  char *vm;         /* NULL until the first report has arrived */
  uint64_t vm_hash; /* of VM, names the entry VM in the matcher */
  char *zone;
  char *region;
  struct cyi_send_schedule document_schedule;
  cy_time_ns last_received;
  uint64_t epoch;         /* of the register that the entry VM holds */
  uint64_t held_sequence; /* newest change of that register it holds */
  struct cyc_view_schedule view_schedule; /* what was sent on CONN */
  uint64_t report_number; /* of the last report, echoed in views */
  bool view_due;          /* the next flush sends a view */
  GHashTable *jobs;       /* &number to struct cyc_job */
};

CK_LIST_HEAD (cyc_peers, cyc_peer);
CK_LIST_HEAD (cyc_children, cyc_child);

struct cyc_hub
{
  struct cyc_hub_options options;
  const struct cy_clock *clock;
  uint64_t epoch; /* of this register, changes with every start */

  /* cyc_log.c */
  struct cyx_replica *replica;
  struct cys_state *state;
  uint64_t member;          /* id of this VM in the log */
  bool fresh;               /* joins with an empty folder, does not found */
  cy_time_ns runs_since;    /* time of the start or the end of a pause */
  cy_time_ns ran_at;        /* time of the last heartbeat */
  uint64_t change_count;    /* proposed changes, numbers the request ids */
  GPtrArray *drained;       /* names of the drained zones, char * */
  GHashTable *undrained_at; /* zone to cy_time_ns of the end of its drain */
  struct cyi_document *document;
  /* Newest declaration that was proposed here, as it is read from its text, so
     that it is not read again once it is committed; or NULL.  */
  struct cyi_document *proposed;
  char *proposed_text;
  struct cyc_serving serving;
  struct cyc_voter_watch *voter_watch;

  struct cyn_listener *listener;
  struct cyn_timer *heartbeat_timer;
  struct cyn_timer *flush_timer;
  cy_time_ns renewals_sent_at;
  struct cyc_register *reg;
  struct cyc_peers peers;
  struct cyc_children children;
  GQueue pending_announcements; /* struct cyc_pending_announcement * */
  struct cyc_departures *departures;

  /* cyc_dispatch.c */
  struct cym_match *match;
  struct cym_quota *quota;
  /* A server was not at its address: the matcher needs to know until then
     which servers go on announcing themselves.  */
  cy_time_ns reports_needed_until;
  struct cyn_timer *match_timer;
  struct cym_loans *loans;
  GHashTable *loan_requests; /* "REGION/SERVICE" to struct cyc_loan_request */
  CK_LIST_HEAD (cyc_jobs, cyc_job) jobs;
  bool keeps_jobs; /* JOBS is being walked: no job is freed meanwhile */
  unsigned region_entries;   /* entry VMs of the local region */
  unsigned attached_entries; /* entry VMs of the local region whose requests
                                are placed here */

  /* cyc_retry_budget.c */
  cy_time_ns created_at;
  bool all_placers_known;      /* a placer of every region is live */
  GHashTable *refused_retries; /* service to uint64_t, as last logged */
  cy_time_ns retries_logged_at;

  bool flush_scheduled;          /* FLUSH_TIMER runs */
  struct cyn_timer *state_timer; /* runs once per batch of applied records */
  bool all_views_due;            /* the next flush sends all views */
  GPtrArray *versions; /* struct cyc_document_version *, the newest last; NULL
                          before the first declaration */
  bool was_isolated;   /* at the last heartbeat */
  bool was_serving;    /* at the last heartbeat */
  bool leaving;
  cyn_callback stopped;
  void *stopped_context;
  int stop_checks; /* checks so far of whether this VM still leads */
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

/* Discards the log of this VM, whose member was removed, and joins again as a
   new member.  Without effect while the disk cannot be written.  */
void cyc_log_rejoin (struct cyc_hub *hub);
/* Number of voters that are a majority.  */
size_t cyc_log_majority (const struct cyc_hub *hub);

/* True when MEMBER is a voter.  */
bool cyc_log_is_voter (const struct cyc_hub *hub, uint64_t member);
bool cyc_log_is_drained (const struct cyc_hub *hub, const char *zone);

/* Returns the time at which the servers of ZONE are warm after the end of the
   zone's drain, 0 if this process has seen no drain of ZONE end.  */
cy_time_ns cyc_log_cold_until (const struct cyc_hub *hub, const char *zone);

/* ---- cyc_links.c */
void cyc_links_create (struct cyc_hub *hub);
void cyc_links_destroy (struct cyc_hub *hub);
void cyc_links_receive (struct cyc_hub *hub, const Cy__HubSync *sync);

/* Sends every peer the changes of the register since the last message.
   HEARTBEAT: also to peers without changes, and with loans and counts.  */
void cyc_links_send (struct cyc_hub *hub, bool heartbeat);
bool cyc_peer_is_live (const struct cyc_peer *peer, cy_time_ns now);
void cyc_links_heartbeat (struct cyc_hub *hub);

/* True when this VM reaches no majority of the voters.  */
bool cyc_links_is_isolated (const struct cyc_hub *hub);

/* True when this VM or a reachable control VM is the leader and ready.  */
bool cyc_links_has_leader (const struct cyc_hub *hub);

/* Returns the highest log index that a reachable peer has committed, 0 if none
   is reachable.  */
uint64_t cyc_links_committed (const struct cyc_hub *hub, cy_time_ns now);

/* ---- cyc_children.c */
void cyc_children_open (struct cyc_hub *hub, struct cyn_conn *conn);
void cyc_children_close (struct cyc_hub *hub, struct cyn_conn *conn);
void cyc_children_receive_report (struct cyc_hub *hub, struct cyn_conn *conn,
                                  const Cy__EntryReport *report);
void cyc_children_send_views (struct cyc_hub *hub);

/* Puts DOCUMENT in force; the next flush sends it to entry VMs.  */
void cyc_children_set_document (struct cyc_hub *hub,
                                const Cy__Document *document);
struct cyc_child *cyc_children_find (struct cyc_hub *hub,
                                     const struct cyn_conn *conn);

/* Tells each peer that the departures it sent are on the disk now, if it waits
   for that.  */
void cyc_links_confirm_stored (struct cyc_hub *hub);

/* ---- cyc_departures.c */
/* Reads the departures on the disk into the register.  The data folder must be
   open.  CY_E_IO.  */
cy_result cyc_departures_create (struct cyc_hub *hub);
void cyc_departures_destroy (struct cyc_hub *hub);

/* Drops the records of servers that the register no longer holds as leaving or
   draining.  */
void cyc_departures_expire (struct cyc_hub *hub);

/* Queues the departures that are new in the register here, then applies to
   STORED that this register holds all changes up to SEQUENCE of the register
   that STORED follows.  Returns true when stored->sequence has increased.  */
bool cyc_departures_follow (struct cyc_hub *hub, struct cyc_stored *stored,
                            uint64_t sequence);

/* Returns the sequence of the register up to which its departures are on the
   disk of this VM.  */
uint64_t cyc_departures_stored (struct cyc_hub *hub);

/* ---- cyc_announce.c */
/* Ends the pending announcements that are acknowledged or timed out.  */
void cyc_announce_complete_pending (struct cyc_hub *hub);
void cyc_announce_destroy (struct cyc_hub *hub);

/* ---- cyc_dispatch.c */
void cyc_dispatch_create (struct cyc_hub *hub);
void cyc_dispatch_destroy (struct cyc_hub *hub);
void cyc_dispatch_place (struct cyc_hub *hub, struct cyc_child *child,
                         const Cy__PlaceAsk *message);
void cyc_dispatch_finish (struct cyc_hub *hub, struct cyc_child *child,
                          const Cy__PlaceDone *done);

/* Id of REQUEST of an entry VM in the log, "" if it has none.  */
const char *cyc_dispatch_request_id (const struct cym_request *request);

/* CHILD has disconnected: cancels the requests that wait, keeps the placed
   ones.  */
void cyc_dispatch_disconnect (struct cyc_hub *hub, struct cyc_child *child);

/* Copies the register, the drained zones and the services of the declaration
   to the matcher.  */
void cyc_dispatch_update_servers (struct cyc_hub *hub);

/* Recomputes this placer's share: the part of the region's entry VMs that are
   attached to it.  */
void cyc_dispatch_update_share (struct cyc_hub *hub);
void cyc_dispatch_heartbeat (struct cyc_hub *hub);

/* ---- cyc_notices.c */
/* What the backend server reported with the answer to the request of DONE.  */
struct cym_load cyc_notices_read (const Cy__PlaceDone *done);

/* Passes on that INCARNATION of server ID reported to CHILD that it leaves. */
void cyc_notices_mark_leaving (struct cyc_hub *hub,
                               const struct cyc_child *child, const char *id,
                               uint64_t incarnation);

/* Applies what a backend server reported to CHILD.  */
void cyc_notices_receive (struct cyc_hub *hub, const struct cyc_child *child,
                          const Cy__ServerNotice *notice);

/* Updates the metric of servers with a limit.  */
void cyc_notices_heartbeat (const struct cyc_hub *hub);

/* ---- cyc_lending.c */
/* Adds needs and loans to SYNC; cyc_lending_clear_sync frees them.  */
void cyc_lending_fill_sync (struct cyc_hub *hub, Cy__HubSync *sync);
void cyc_lending_clear_sync (Cy__HubSync *sync);
void cyc_lending_receive (struct cyc_hub *hub, struct cyc_peer *peer,
                          const Cy__HubSync *sync);
void cyc_lending_heartbeat (struct cyc_hub *hub);
void cyc_lending_create (struct cyc_hub *hub);
void cyc_lending_destroy (struct cyc_hub *hub);
void cyc_lending_receive_tokens (struct cyc_hub *hub,
                                 const Cy__TokenGift *gift);

/* ---- cyc_retry_budget.c */
/* Adds the counts of this placer to SYNC; cyc_retry_budget_clear_sync frees
   them.  */
void cyc_retry_budget_fill_sync (struct cyc_hub *hub, Cy__HubSync *sync);
void cyc_retry_budget_clear_sync (Cy__HubSync *sync);
void cyc_retry_budget_receive (struct cyc_hub *hub, struct cyc_peer *peer,
                               const Cy__HubSync *sync);

/* Checks whether a placer of every region is live; once a second it updates
   the metrics and logs the services whose budget refused retries.  */
void cyc_retry_budget_heartbeat (struct cyc_hub *hub);
void cyc_retry_budget_create (struct cyc_hub *hub);
void cyc_retry_budget_destroy (struct cyc_hub *hub);

/* ---- cyc_poison.c */

/* Sets the options of the matcher for changes of poison requests.  */
void cyc_poison_attach (struct cyc_hub *hub, struct cym_options *options);

/* Schedules a message to the other control VMs if there is a change.  */
void cyc_poison_schedule (struct cyc_hub *hub);

/* Adds the changes to SYNC, with FULL also what earlier messages reported;
   cyc_poison_clear_sync frees them.  */
void cyc_poison_fill_sync (struct cyc_hub *hub, Cy__HubSync *sync, bool full);
void cyc_poison_clear_sync (Cy__HubSync *sync);
void cyc_poison_receive (struct cyc_hub *hub, const Cy__HubSync *sync);

/* ---- cyc_join.c */
void cyc_join_heartbeat (struct cyc_hub *hub);
bool cyc_join_has_member (const struct cyc_hub *hub, uint64_t member);
bool cyc_join_is_member (const struct cyc_hub *hub);

/* Returns what the peers reported, in the order of the list of peers, and
   their number in COUNT.  Freed by the caller.  */
struct cyc_voters_vm *cyc_join_list_vms (const struct cyc_hub *hub,
                                         cy_time_ns now, size_t *count);

/* ---- cyc_voter_watch.c */
void cyc_voter_watch_create (struct cyc_hub *hub);
void cyc_voter_watch_destroy (struct cyc_hub *hub);
void cyc_voter_watch_heartbeat (struct cyc_hub *hub);

/* ---- cyc_hub.c */

/* Sends changes to peers and entry VMs within CYC_FLUSH_DELAY_MS.  */
void cyc_hub_schedule_flush (struct cyc_hub *hub);

/* True when entry VMs may use the declaration that this VM holds.  */
bool cyc_hub_serves (const struct cyc_hub *hub);

/* Checks whether entry VMs may use the declaration from the disk.  */
void cyc_hub_update_serving (struct cyc_hub *hub);

#endif /* CYC_INTERNAL_H */
