/* Shared by the files of the agent only.  */

#ifndef CYE_AGENT_INTERNAL_H
#define CYE_AGENT_INTERNAL_H

#include <glib.h>
#include <stdatomic.h>

#include "core/cyq_node.h"
#include "entry/cye_agent.h"
#include "zone/cyz_parent.h"

#define CYE_WAITERS_MAX                                                       \
  2000 /* requests of a workspace that wait for a token */

struct cye_quota;

/* Takes a token or queues the request; any thread.  */
struct cye_quota *cye_quota_create (struct cye_agent *agent);
void cye_quota_destroy (struct cye_quota *quota);
enum cye_admission cye_quota_admit (struct cye_quota *quota,
                                    const char *workspace, cy_time_ns deadline,
                                    cye_admitted_fn admitted, void *context);
uint32_t cye_quota_retry_after_ms (struct cye_quota *quota,
                                   const char *workspace);

/* The rest runs in the loop's thread.  A giver is a zone process, known by
   the name of its VM.  */
void cye_quota_open (struct cye_quota *quota, struct cyn_conn *conn);
void cye_quota_close (struct cye_quota *quota, struct cyn_conn *conn);
void cye_quota_current (struct cye_quota *quota, struct cyn_conn *conn);
void cye_quota_answer (struct cye_quota *quota, struct cyn_conn *conn,
                       const Cy__QuotaAnswer *answer);

/* The zone process behind CONN is stopping: gives everything back to it.  */
void cye_quota_leave (struct cye_quota *quota, struct cyn_conn *conn);

/* The declared workspaces changed.  */
void cye_quota_declare (struct cye_quota *quota,
                        const struct cys_state *state);

struct cye_reports;

struct cye_reports *cye_reports_create (struct cye_agent *agent);
void cye_reports_destroy (struct cye_reports *reports);
void cye_reports_put (struct cye_reports *reports, const Cy__Object *object);
void cye_reports_open (struct cye_reports *reports, struct cyn_conn *conn);
void cye_reports_close (struct cye_reports *reports, struct cyn_conn *conn);

/* Tells the parents that the declared state in force changed.  */
void cye_reports_version (struct cye_reports *reports, uint64_t version);

struct cye_agent
{
  struct cye_agent_options options;
  const struct cy_clock *clock;
  struct cyz_parent *parent;
  struct cye_quota *quota;
  struct cye_reports *reports;
  bool linked;
  atomic_int_fast64_t confirmed; /* cyf_freshness.since; INT64_MIN: none */
};

#endif /* CYE_AGENT_INTERNAL_H */
