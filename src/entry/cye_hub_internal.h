/* Inside of cye_hub.h, shared by cye_hub.c (life, links), cye_hub_view.c (what
   control VMs tell) and cye_hub_place.c (placing).  */

#ifndef CYE_HUB_INTERNAL_H
#define CYE_HUB_INTERNAL_H

#include <ck_queue.h>
#include <glib.h>

#include "core/cyc_register.h"
#include "core/cym_quota.h"
#include "entry/cye_hub.h"
#include "entry/cye_declaration_reader.h"

#define CYE_REPORT_REST_MS 500  /* ms between two reports at rest */
#define CYE_WATCH_MS       50   /* ms between two looks while requests wait */
#define CYE_LINK_LIVE_MS   1200 /* ms of silence until a control VM is down */

/* A control VM.  */
struct cye_link
{
  CK_LIST_ENTRY (cye_link) entry;
  struct cye_hub *hub;
  char *host;
  char *vm; /* NULL until it was heard */
  char *region;
  bool seed;
  bool wanted; /* a connection should be open */
  struct cyn_conn *conn;
  struct cyn_timer *redial;
  int64_t backoff_ms;
  cy_time_ns opened;
  cy_time_ns heard; /* 0: not on this connection */
  cy_time_ns said;
  bool told; /* heard at least one view on this connection */
  bool isolated;
  bool majority;
  bool leaving;
  uint64_t epoch; /* of its register, held here */
  uint64_t sequence;
};

CK_LIST_HEAD (cye_links, cye_link);
TAILQ_HEAD (cye_places, cye_place);

struct cye_hub
{
  struct cye_hub_options options;
  const struct cy_clock *clock;
  struct cye_links links;
  struct cye_link *dispatcher; /* places the requests, NULL: this VM itself */
  struct cyn_timer *beat;
  struct cyn_timer *watch; /* runs while requests wait */
  uint64_t reports;        /* numbers them */
  uint64_t changes;        /* of what this VM reports of itself */
  bool leaving;

  /* cye_hub_view.c */
  struct cyi_document *document;
  struct cye_declaration_reader *reading;
  struct cyc_register *reg;
  GPtrArray *drained; /* char *, zones */
  unsigned region_entries;

  /* cye_hub_place.c */
  uint64_t numbers;
  GHashTable *by_number;  /* &number to struct cye_place, of control VMs */
  struct cye_places open; /* the same */
  struct cye_places own;  /* placed by or waiting at this VM itself */
  struct cym_match *match;
  struct cym_quota *quota;
  GHashTable *suspects; /* instance to cy_time_ns */
};

static inline cy_time_ns
cye_hub_now (const struct cye_hub *hub)
{
  return cy_clock_now (hub->clock);
}

/* ---- cye_hub.c */
void cye_hub_report (struct cye_hub *hub, struct cye_link *link);
void cye_hub_report_all (struct cye_hub *hub);

/* Knows the control VM VM of REGION at HOST from now on.  */
void cye_hub_know (struct cye_hub *hub, const char *vm, const char *region,
                   const char *host);

/* Chooses who places the requests anew.  */
void cye_hub_choose (struct cye_hub *hub);

/* LINK is given up: it does not answer.  */
void cye_hub_hang_up (struct cye_link *link);

/* ---- cye_hub_view.c */
void cye_hub_view (struct cye_hub *hub, struct cye_link *link,
                   const Cy__HubView *view);

/* A declaration was read, or could not be.  CONTEXT: the hub.  */
void cye_hub_view_read (struct cye_read *read, void *context);

/* ---- cye_hub_place.c */
void cye_hub_place_create (struct cye_hub *hub);
void cye_hub_place_destroy (struct cye_hub *hub);
void cye_hub_place_answer (struct cye_hub *hub, const Cy__PlaceAnswer *answer);

/* The dispatcher is another one, or none, from now on.  BEFORE may be gone. */
void cye_hub_place_move (struct cye_hub *hub, struct cye_link *before);

/* The register, the drained zones, the document or the count of entry VMs
   changed.  */
void cye_hub_place_update (struct cye_hub *hub);

/* When the oldest request that waits at a control VM was asked for, 0 if none
   waits.  */
cy_time_ns cye_hub_place_oldest (const struct cye_hub *hub);

#endif /* CYE_HUB_INTERNAL_H */
