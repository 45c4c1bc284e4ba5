/* Declarations shared by the source files of the agent.  */

#ifndef CYE_AGENT_INTERNAL_H
#define CYE_AGENT_INTERNAL_H

#include <glib.h>
#include <stdatomic.h>

#include "core/cyq_node.h"
#include "entry/cye_agent.h"
#include "zone/cyz_parent.h"

/* Most requests of one workspace that wait for a token.  */
#define CYE_WAITERS_MAX 2000

struct cye_quota;

/* Tokens of the workspaces at this entry VM and the requests that wait for a
   token.  cye_quota_admit and cye_quota_retry_after_ms may be called by any
   thread.  */
struct cye_quota *cye_quota_create (struct cye_agent *agent);
void cye_quota_destroy (struct cye_quota *quota);
enum cye_admission cye_quota_admit (struct cye_quota *quota,
                                    const char *workspace, cy_time_ns deadline,
                                    cye_admitted_fn admitted, void *context);
uint32_t cye_quota_retry_after_ms (struct cye_quota *quota,
                                   const char *workspace);

/* The functions below run in the loop's thread.  A grantor is a zone process,
   identified by the name of its VM.  */
/* A connection to a zone process opened or closed.  */
void cye_quota_open (struct cye_quota *quota, struct cyn_conn *conn);
void cye_quota_close (struct cye_quota *quota, struct cyn_conn *conn);
/* Makes the zone process behind CONN the current grantor; NULL keeps the
   grantor.  */
void cye_quota_set_current (struct cye_quota *quota, struct cyn_conn *conn);
void cye_quota_receive_answer (struct cye_quota *quota, struct cyn_conn *conn,
                               const Cy__QuotaAnswer *answer);

/* Returns all quota to the zone process behind CONN, which is stopping.  */
void cye_quota_return_all (struct cye_quota *quota, struct cyn_conn *conn);

/* Applies the declared workspaces of STATE.  */
void cye_quota_update_workspaces (struct cye_quota *quota,
                                  const struct cys_state *state);

/* Reports of the soft objects of this VM to the zone processes.
   cye_reports_put may be called by any thread, the other functions by the
   loop's thread.  */
struct cye_reports;

struct cye_reports *cye_reports_create (struct cye_agent *agent);
void cye_reports_destroy (struct cye_reports *reports);
/* Adds OBJECT to the reports, or removes the object with the same key when
   OBJECT is marked as deleted.  Copies OBJECT.  */
void cye_reports_put (struct cye_reports *reports, const Cy__Object *object);
/* A connection to a zone process opened or closed.  */
void cye_reports_open (struct cye_reports *reports, struct cyn_conn *conn);
void cye_reports_close (struct cye_reports *reports, struct cyn_conn *conn);

/* Reports VERSION, the version of the declared state in force, to the zone
   processes.  */
void cye_reports_set_version (struct cye_reports *reports, uint64_t version);

struct cye_agent
{
  struct cye_agent_options options;
  const struct cy_clock *clock;
  struct cyz_parent *parent;
  struct cye_quota *quota;
  struct cye_reports *reports;
  bool linked;                      /* last value reported by on_link */
  atomic_int_fast64_t confirmed_at; /* time of the last confirmation of the
                                    declared state; INT64_MIN: none */
};

#endif /* CYE_AGENT_INTERNAL_H */
