/* Bounded time series as input of the verdict: the time split and outcomes of
   requests by service and zone, and the results of the probes between zones.

   Samples are added to spans of CYV_SPAN_MS by their time of arrival, so that
   clocks of different VMs are never compared.  A sample with the same sender's
   time stamp as the previous one is ignored.  Not thread-safe.  */

#ifndef CYV_SERIES_H
#define CYV_SERIES_H

#include <stdbool.h>
#include <stdint.h>

#include "core/cyp_shift.h"

#define CYV_SPAN_MS      5000          /* ms; length of one span */
#define CYV_SPAN_COUNT   240           /* number of spans kept: 20 minutes */
#define CYV_ZONES_MAX    CYP_ZONES_MAX /* maximum number of zones */
#define CYV_SERVICES_MAX 64            /* maximum number of services */

/* Parts of the time that a request takes.  */
enum cyv_part
{
  CYV_PART_CALLER,
  CYV_PART_WAITING,
  CYV_PART_CONNECT,
  CYV_PART_LINK,
  CYV_PART_BACKEND,
  CYV_PART_COUNT
};

/* Outcomes of a request without a backend server's answer.  */
enum cyv_outcome
{
  CYV_OUTCOME_CONNECT_FAILED,
  CYV_OUTCOME_BACKEND_FAILED,
  CYV_OUTCOME_REFUSED_RATE,
  CYV_OUTCOME_REFUSED_NO_SLOT,
  CYV_OUTCOME_CALLER_DISCONNECTED,
  CYV_OUTCOME_OWN_ERROR,
  CYV_OUTCOME_COUNT
};

/* Requests of one service in one zone, added up over a span.  */
struct cyv_time_split
{
  float requests;                    /* number of requests */
  float part_ms[CYV_PART_COUNT];     /* sum of the times in ms, by part */
  float outcomes[CYV_OUTCOME_COUNT]; /* number of requests, by outcome */
};

/* Probes from one zone to another, added up over a span.  */
struct cyv_probe
{
  float sent;          /* number of probes sent */
  float lost;          /* number of probes without an answer */
  float round_trip_ms; /* sum over the answered probes */
};

struct cyv_series;

/* Returns an empty series; the caller frees it with cyv_series_destroy.  */
struct cyv_series *cyv_series_create (void);
/* Frees SERIES; NULL is allowed.  */
void cyv_series_destroy (struct cyv_series *series);

/* Adds SPLIT, which arrived at NOW_MS with the sender's time stamp
   STAMP_MS.  */
void cyv_series_add_split (struct cyv_series *series, unsigned service,
                           unsigned zone, const struct cyv_time_split *split,
                           int64_t stamp_ms, int64_t now_ms);

/* Adds PROBE of zone FROM to zone TO, which arrived at NOW_MS with the
   sender's time stamp STAMP_MS.  */
void cyv_series_add_probe (struct cyv_series *series, unsigned from,
                           unsigned to, const struct cyv_probe *probe,
                           int64_t stamp_ms, int64_t now_ms);

/* Records that a new report of ZONE's process arrived at NOW_MS.  */
void cyv_series_add_report (struct cyv_series *series, unsigned zone,
                            int64_t now_ms);

/* Returns the number of the span that contains NOW_MS.  */
int64_t cyv_span_of (int64_t now_ms);

/* Return the sums of SPAN, or NULL when it has no sample.  Owned by SERIES. */
const struct cyv_time_split *cyv_split_at (const struct cyv_series *series,
                                           unsigned service, unsigned zone,
                                           int64_t span);
const struct cyv_probe *cyv_probe_at (const struct cyv_series *series,
                                      unsigned from, unsigned to,
                                      int64_t span);

/* Returns the number of reports of ZONE that arrived in SPAN.  */
unsigned cyv_reports_at (const struct cyv_series *series, unsigned zone,
                         int64_t span);

/* Returns one more than the highest zone number added so far.  */
unsigned cyv_series_zone_count (const struct cyv_series *series);

#endif /* CYV_SERIES_H */
