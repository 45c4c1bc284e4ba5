/* Health and speed of servers, learned from the outcomes of requests.  */

#include <math.h>
#include <string.h>

#include "core/cym_internal.h"

/* Consecutive failures after which a server is ejected: broken connections or
   invalid answers, and timeouts.  */
#define EJECT_AFTER_BROKEN   3
#define EJECT_AFTER_TIMEOUTS 2

/* Length of the first ejection in ms; it doubles with each consecutive one, at
   most EJECTION_DOUBLINGS_MAX times.  */
#define EJECTION_MS            400
#define EJECTION_DOUBLINGS_MAX 4

/* The same for a server at whose address another one answers: 1.6 s at most,
   so that two servers that have one address in turn are used within 4 s.  */
#define MISDIRECTED_DOUBLINGS_MAX 2

/* Weight of one answer in the moving averages, 0 to 1.  */
#define ERROR_WEIGHT        0.1  /* errors per answer of a server */
#define SLOWDOWN_WEIGHT     0.15 /* slowdown of a server */
#define SERVICE_TIME_WEIGHT 0.03 /* answer time of a route or service */

/* Bounds of the slowdown that one answer may show.  */
#define SLOWDOWN_MIN 0.4
#define SLOWDOWN_MAX 20.0

/* Margin in ms that is added to a reported remaining cold time.  */
#define COLD_MARGIN_MS 50

/* Stops placing requests at SERVER for a time, which doubles DOUBLINGS_MAX
   times at most, then allows one at a time until the server answers.  */
static void
eject_server (struct cym_server *server, unsigned doublings_max,
              cy_time_ns now)
{
  int64_t ms = (int64_t)EJECTION_MS
               << MIN (server->consecutive_ejections, doublings_max);
  server->consecutive_ejections++;
  server->ejected_until = now + ms * CY_NS_PER_MS;
  server->on_probation = true;
  server->consecutive_failures = 0;
}

/* Records that SERVER answered, FAILED: with an error.  A server that was
   unreachable may have restarted under the same name; it is then cold,
   although this has not been announced yet.  */
static void
record_answer (struct cym_server *server, bool failed, cy_time_ns now)
{
  if (server->unreachable)
    server->cold_until = MAX (server->cold_until,
                              now + server->service->cold_ms * CY_NS_PER_MS);
  server->unreachable = false;
  server->misdirected_at = 0;
  server->consecutive_failures = 0;
  server->consecutive_ejections = 0;
  server->on_probation = false;
  server->error_ratio
      += ((failed ? 1 : 0) - server->error_ratio) * ERROR_WEIGHT;
}

void
cym_health_record (struct cym_server *server, enum cym_outcome outcome,
                   cy_time_ns now)
{
  switch (outcome)
    {
    case CYM_ANSWERED:
      record_answer (server, false, now);
      break;
    case CYM_ERROR:
    case CYM_NOT_RUN:
      record_answer (server, true, now);
      break;
    case CYM_WRONG_SERVER:
      /* The server ended, or is not at the address that was announced for
         it.  One that goes on announcing itself is tried now and then.  */
      server->misdirected_at = now;
      eject_server (server, MISDIRECTED_DOUBLINGS_MAX, now);
      break;
    case CYM_UNREACHABLE:
      server->unreachable = true;
      eject_server (server, EJECTION_DOUBLINGS_MAX, now);
      break;
    case CYM_BROKEN:
      server->error_ratio += (1 - server->error_ratio) * ERROR_WEIGHT;
      if (++server->consecutive_failures >= EJECT_AFTER_BROKEN
          || server->on_probation)
        eject_server (server, EJECTION_DOUBLINGS_MAX, now);
      break;
    case CYM_TIMED_OUT:
      if (++server->consecutive_failures >= EJECT_AFTER_TIMEOUTS
          || server->on_probation)
        {
          server->unreachable = true;
          eject_server (server, EJECTION_DOUBLINGS_MAX, now);
        }
      break;
    case CYM_CANCELLED:
      break;
    }
}

/* Moves *AVERAGE, 0 if unknown, towards SAMPLE by the ratio WEIGHT.  */
static void
update_average (double *average, double sample, double weight)
{
  *average = *average <= 0 ? sample : *average + (sample - *average) * weight;
}

void
cym_answer_time_record (struct cym_server *server, struct cym_request *request,
                        cy_time_ns answer_time, cy_time_ns now)
{
  struct cym_route_stats *stats = request->route_stats;
  struct cym_service *service = server->service;
  double answer_ns = (double)answer_time;
  double expected_ns
      = request->affinity_hit ? stats->cached_time_ns : stats->service_time_ns;
  if (!server->local)
    {
      double latency_ns = fmax (answer_ns - expected_ns, 0);
      if (expected_ns > 0)
        update_average (&server->remote_latency_ns, latency_ns,
                        SLOWDOWN_WEIGHT);
      return;
    }
  update_average (&server->service_time_ns, answer_ns, SLOWDOWN_WEIGHT);
  if (server->cold_until > now)
    return;
  if (expected_ns > 0)
    {
      double slowdown
          = fmin (fmax (answer_ns / expected_ns, SLOWDOWN_MIN), SLOWDOWN_MAX);
      update_average (&server->slowdown, slowdown, SLOWDOWN_WEIGHT);
      server->slowdown_updated_at = now;
    }
  /* A slow server must not increase the route's average.  */
  double typical_ns = answer_ns / fmax (server->slowdown, 1);
  cym_affinity_update_size (server, request, answer_ns);
  update_average (request->affinity_hit ? &stats->cached_time_ns
                                        : &stats->service_time_ns,
                  typical_ns, SERVICE_TIME_WEIGHT);
  update_average (&service->service_time_ns, typical_ns, SERVICE_TIME_WEIGHT);
}

void
cym_load_record (struct cym_server *server, uint64_t entry_vm,
                 const struct cym_load *load, cy_time_ns now)
{
  server->leaving = server->leaving || load->leaving;
  if (load->pause_ms > 0)
    cym_pause_set (server, entry_vm, now + load->pause_ms * CY_NS_PER_MS, now);
  if (load->cold_ms > 0)
    server->cold_until
        = MAX (server->cold_until,
               now + (load->cold_ms + COLD_MARGIN_MS) * CY_NS_PER_MS);
  if (!load->known)
    return;
  /* The server measured its load when it answered.  Requests that this matcher
     has placed there since are not included, so the computed number may be too
     low; it is used as it is, for a short time only.  */
  double others = (double)load->running + load->waiting
                  - (double)server->in_flight - server->lent_out;
  server->others_in_flight = fmax (others, 0);
  server->others_reported_at = now;
}
