/* Structs shared by the files that implement cye_hub.h: cye_hub.c (lifetime,
   links), cye_hub_view.c (views of control VMs), cye_hub_place.c (placing). */

#ifndef CYE_HUB_INTERNAL_H
#define CYE_HUB_INTERNAL_H

#include <ck_queue.h>
#include <glib.h>

#include "core/cyc_register.h"
#include "core/cym_notices.h"
#include "core/cym_quota.h"
#include "entry/cye_hub.h"
#include "entry/cye_declaration_reader.h"

#define CYE_REPORT_INTERVAL_MS 500 /* between two reports without a change */
#define CYE_PLACER_CHECK_MS    50  /* between two checks of the placer */

/* Time without a byte from a control VM after which it counts as down, ms.  */
#define CYE_LINK_TIMEOUT_MS 1200

/* A control VM and the connection to it.  */
struct cye_link
{
  CK_LIST_ENTRY (cye_link) entry;
  struct cye_hub *hub;
  char *host;
  char *vm;     /* name, NULL until a view names it */
  char *region; /* NULL until a view names it */
  bool is_seed; /* from the settings */
  bool wanted;  /* a connection should be open */
  struct cyn_conn *conn;
  struct cyn_timer *redial; /* reconnects */
  int64_t backoff_ms;       /* delay of the next reconnect */
  cy_time_ns opened_at;     /* monotonic time of the newest connection */
  cy_time_ns last_received; /* time of the last message on this connection, 0:
                               none */
  cy_time_ns last_reported; /* time of the last report to the control VM */
  bool view_received;       /* on this connection */
  bool isolated;            /* the control VM may lack changes of others */
  bool reaches_majority;    /* of the control VMs */
  bool leaving;             /* the control VM is stopping */
  uint64_t epoch;           /* of the control VM's register, as held here */
  uint64_t sequence;        /* newest change of that register held here */
  bool notices_due;         /* the next report lists all notices */
  uint64_t self_sent; /* number of the newest change of this VM's own entry
                         that was sent on the connection, 0: none */
};

CK_LIST_HEAD (cye_links, cye_link);
TAILQ_HEAD (cye_places, cye_place);

struct cye_hub
{
  struct cye_hub_options options;
  const struct cy_clock *clock;
  struct cye_links links;
  struct cye_link *placer; /* control VM that places requests, NULL: this VM */
  struct cye_link *standby;             /* the next placer, NULL: none */
  struct cyn_timer *heartbeat_timer;    /* sends reports, checks links */
  struct cyn_timer *placer_check_timer; /* runs while requests wait */
  uint64_t report_number;               /* number of the newest report */
  uint64_t change_number; /* count of changes to this VM's own entry */
  bool leaving;           /* this VM is stopping */

  /* cye_hub_view.c */
  struct cyi_document *document; /* newest declaration, NULL: none */
  struct cye_declaration_reader *declaration_reader;
  struct cyc_register *server_register;
  GPtrArray *drained_zones; /* char *, drained zones */
  unsigned region_entries;  /* entry VMs of the region */

  /* cye_hub_place.c */
  uint64_t last_place_number; /* newest request number at control VMs */
  GHashTable *by_number; /* &number to struct cye_place in control_places */
  struct cye_places control_places; /* waiting at or placed by a control VM, in
                                       order of their number */
  struct cye_places local_places;   /* waiting at or placed by this VM */
  struct cym_match *match;          /* local placing */
  struct cym_quota *quota;          /* local share of the workspaces' rates */
  struct cym_notices *notices;      /* of backend servers to this VM */
  GHashTable *suspects; /* instance to monotonic cy_time_ns of its last answer
                           timeout */
};

static inline cy_time_ns
cye_hub_now (const struct cye_hub *hub)
{
  return cy_clock_now (hub->clock);
}

/* ---- cye_hub.c */
void cye_hub_report (struct cye_hub *hub, struct cye_link *link);
void cye_hub_report_all (struct cye_hub *hub);

/* Adds control VM VM of REGION at HOST, or updates its name and region.  */
void cye_hub_add_control_vm (struct cye_hub *hub, const char *vm,
                             const char *region, const char *host);

/* Chooses the placer again.  */
void cye_hub_choose_placer (struct cye_hub *hub);

/* Closes the connection of LINK, if it has one.  */
void cye_hub_close_link (struct cye_link *link);

/* ---- cye_hub_view.c */
void cye_hub_view (struct cye_hub *hub, struct cye_link *link,
                   const Cy__HubView *view);

/* Applies the declaration that the declaration reader has read, or logs why it
   could not.  CONTEXT: the hub.  */
void cye_hub_view_declaration_read (struct cye_read_result *read,
                                    void *context);

/* ---- cye_hub_place.c */
void cye_hub_place_create (struct cye_hub *hub);
void cye_hub_place_destroy (struct cye_hub *hub);
void cye_hub_place_answer (struct cye_hub *hub, const Cy__PlaceAnswer *answer);

/* Moves all requests to the new placer.  BEFORE: the former placer, NULL: this
   VM; it may be disconnected.  */
void cye_hub_place_reassign (struct cye_hub *hub, struct cye_link *before);

/* Applies a change of the register, the drained zones, the declaration or the
   count of entry VMs to local placing.  */
void cye_hub_place_update (struct cye_hub *hub);

/* Adds the notices in force to REPORT.  cye_hub_place_clear_notices frees
   them.  */
void cye_hub_place_fill_notices (struct cye_hub *hub, Cy__EntryReport *report);
void cye_hub_place_clear_notices (Cy__EntryReport *report);

/* Monotonic time at which the oldest request that waits at a control VM was
   sent, 0 if none waits.  */
cy_time_ns cye_hub_place_oldest_at (const struct cye_hub *hub);

#endif /* CYE_HUB_INTERNAL_H */
