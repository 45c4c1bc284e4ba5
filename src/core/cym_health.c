/* What the ends of requests say of a server.  */

#include <math.h>
#include <string.h>

#include "core/cym_internal.h"

#define BROKEN_IN_A_ROW 3    /* broken answers until a server is ejected */
#define SILENT_IN_A_ROW 2    /* the same, without any answer */
#define EJECT_MS        400  /* ms, doubled at each ejection in a row */
#define EJECT_DOUBLINGS 4    /* at most */
#define ERROR_WEIGHT    0.1  /* of one answer in the share of errors */
#define SPEED_WEIGHT    0.15 /* of one answer in a server's speed */
#define WORK_WEIGHT     0.03 /* of one answer in a route's usual time */
#define SPEED_LEAST     0.4
#define SPEED_MOST      20.0
#define COLD_SLACK_MS   50 /* ms that a cold time is taken to be longer */

static void
eject (struct cym_server *server, cy_time_ns now)
{
  int64_t ms = (int64_t)EJECT_MS << MIN (server->ejections, EJECT_DOUBLINGS);
  server->ejections++;
  server->ejected_until = now + ms * CY_NS_PER_MS;
  server->returning = true;
  server->failures = 0;
}

/* A server that was away may be a new start under its old name, which is cold
   and has not been announced yet.  */
static void
note_alive (struct cym_server *server, bool failed, cy_time_ns now)
{
  if (server->away)
    server->cold_until = MAX (server->cold_until,
                              now + server->service->cold_ms * CY_NS_PER_MS);
  server->away = false;
  server->failures = 0;
  server->ejections = 0;
  server->returning = false;
  server->errors += ((failed ? 1 : 0) - server->errors) * ERROR_WEIGHT;
}

void
cym_health_note (struct cym_server *server, enum cym_outcome ending,
                 cy_time_ns now)
{
  switch (ending)
    {
    case CYM_ANSWERED:
      note_alive (server, false, now);
      break;
    case CYM_ERROR:
    case CYM_NOT_RUN:
      note_alive (server, true, now);
      break;
    case CYM_WRONG:
      /* The register will hear of the new owner; until then it is not asked
         often.  */
      eject (server, now);
      break;
    case CYM_UNREACHABLE:
      server->away = true;
      eject (server, now);
      break;
    case CYM_BROKEN:
      server->errors += (1 - server->errors) * ERROR_WEIGHT;
      if (++server->failures >= BROKEN_IN_A_ROW || server->returning)
        eject (server, now);
      break;
    case CYM_SILENT:
      if (++server->failures >= SILENT_IN_A_ROW || server->returning)
        {
          server->away = true;
          eject (server, now);
        }
      break;
    case CYM_CANCELLED:
      break;
    }
}

/* Moves *USUAL towards TOOK.  */
static void
learn (double *usual, double took, double weight)
{
  *usual = *usual <= 0 ? took : *usual + (took - *usual) * weight;
}

void
cym_speed_note (struct cym_server *server, struct cym_request *ask,
                cy_time_ns answer, cy_time_ns now)
{
  struct cym_class *class_of = ask->class_of;
  struct cym_service *service = server->service;
  double took = (double)answer;
  double expected = ask->warm ? class_of->warm_ns : class_of->work_ns;
  if (!server->own)
    {
      double extra = fmax (took - expected, 0);
      if (expected > 0)
        learn (&server->extra_ns, extra, SPEED_WEIGHT);
      return;
    }
  learn (&server->work_ns, took, SPEED_WEIGHT);
  if (server->cold_until > now)
    return;
  if (expected > 0)
    {
      double ratio = fmin (fmax (took / expected, SPEED_LEAST), SPEED_MOST);
      learn (&server->speed, ratio, SPEED_WEIGHT);
      server->speed_at = now;
    }
  /* A slow server must not make the route look slow.  */
  double usual = took / fmax (server->speed, 1);
  cym_warm_learn (server, ask, took);
  learn (ask->warm ? &class_of->warm_ns : &class_of->work_ns, usual,
         WORK_WEIGHT);
  learn (&service->work_ns, usual, WORK_WEIGHT);
}

void
cym_load_note (struct cym_server *server, const struct cym_load *load,
               cy_time_ns now)
{
  if (load->cold_ms > 0)
    server->cold_until
        = MAX (server->cold_until,
               now + (load->cold_ms + COLD_SLACK_MS) * CY_NS_PER_MS);
  if (!load->known)
    return;
  /* Its figures are as of its answer; what this matcher placed since is not
     in them, so they are taken as they are and forgotten soon.  */
  double others = (double)load->running + load->waiting
                  - (double)server->in_flight - server->given;
  server->foreign = fmax (others, 0);
  server->foreign_at = now;
}
