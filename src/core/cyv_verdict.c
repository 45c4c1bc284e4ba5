#include "core/cyv_verdict.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Requests in a span that are needed for a classification.  */
#define REQUESTS_MIN 5
/* A part is slow above this multiple of its baseline, plus slack_ms.  */
#define SLOW_FACTOR 2
/* Limit on a zone's baseline, as a multiple of the zones' median baseline.  */
#define PEER_BASELINE_FACTOR 1.5
/* Number of parts that are slow in one span from which the cause is the own
   process, the one that measured them.  */
#define OWN_PROCESS_SLOW_PARTS 4
/* Samples (zone and span) with the same cause that prove it.  */
#define CAUSE_SAMPLES_MIN 2
/* Share of the requests of one span; a single sample with this many affected
   requests proves a cause.  */
#define SIGNIFICANT_SHARE 0.2
/* Share of all affected requests from which another cause counts too.  */
#define SECONDARY_SHARE 0.2
/* Consecutive spans without a report after which reports of a zone count as
   missing.  */
#define NO_REPORT_SPANS 2
/* Spans searched for earlier requests of a zone without reports.  */
#define LOOKBACK_SPANS 12

/* Time in ms that is added to the limit on the mean time of each part.  */
static const double slack_ms[CYV_PART_COUNT] = { 50, 5, 2, 2, 5 };
/* Share of requests above which each outcome is abnormal.  */
static const double abnormal_share[CYV_OUTCOME_COUNT]
    = { 0.02, 0.02, 0.05, 0.01, 0.05, 0.01 };

static const char *const cause_texts[CYV_CAUSE_COUNT]
    = { "no fault", "network",         "backend server", "overload",
        "caller",   "our own process", "not known" };
static const char *const part_texts[CYV_PART_COUNT]
    = { "caller", "waiting", "connect", "link", "backend server" };
static const char *const outcome_texts[CYV_OUTCOME_COUNT]
    = { "connect failed",  "backend server failed", "refused over rate",
        "refused no room", "caller left",           "own error" };

const char *
cyv_cause_text (enum cyv_cause cause)
{
  return cause_texts[cause];
}

const char *
cyv_part_text (enum cyv_part part)
{
  return part_texts[part];
}

const char *
cyv_outcome_text (enum cyv_outcome outcome)
{
  return outcome_texts[outcome];
}

/* Working data of one verdict.  */
struct analysis
{
  const struct cyv_series *series;
  const uint16_t *regions;
  unsigned service;
  int64_t first_span;
  int64_t last_span;
  double baseline_ms[CYV_ZONES_MAX][CYV_PART_COUNT];
  /* Number of samples (zone and span), by cause.  */
  unsigned samples[CYV_CAUSE_COUNT];
  bool is_significant[CYV_CAUSE_COUNT]; /* proven by a single sample */
  struct cyv_verdict *verdict;
};

/* Symptoms of one zone in one span.  */
struct symptoms
{
  double requests;
  bool is_slow[CYV_PART_COUNT];
  unsigned slow_parts;             /* number of slow parts */
  double share[CYV_OUTCOME_COUNT]; /* share of requests, by outcome */
  bool is_abnormal[CYV_OUTCOME_COUNT];
};

static int
compare_doubles (const void *a, const void *b)
{
  double left = *(const double *)a;
  double right = *(const double *)b;
  return (left > right) - (left < right);
}

/* Returns the lower quartile of the recorded mean times of PART in ms; NAN
   when there are none.  */
static double
zone_baseline_ms (const struct analysis *analysis, unsigned zone,
                  enum cyv_part part)
{
  double means_ms[CYV_SPAN_COUNT];
  unsigned count = 0;
  for (int64_t span = analysis->last_span - CYV_SPAN_COUNT + 1;
       span <= analysis->last_span; span++)
    {
      const struct cyv_time_split *split
          = span < 0 ? NULL
                     : cyv_split_at (analysis->series, analysis->service, zone,
                                     span);
      if (split == NULL || split->requests < REQUESTS_MIN)
        continue;
      means_ms[count++] = split->part_ms[part] / split->requests;
    }
  if (count == 0)
    return NAN;
  qsort (means_ms, count, sizeof *means_ms, compare_doubles);
  return means_ms[count / 4];
}

/* Computes the baseline of every zone.  The median of all zones limits it,
   since a fault that lasts longer than the series would otherwise become the
   baseline.  */
static void
baselines_compute (struct analysis *analysis, enum cyv_part part)
{
  unsigned zones = cyv_series_zone_count (analysis->series);
  double own_ms[CYV_ZONES_MAX];
  double sorted_ms[CYV_ZONES_MAX] = { 0 };
  unsigned count = 0;
  for (unsigned z = 0; z < zones; z++)
    {
      own_ms[z] = zone_baseline_ms (analysis, z, part);
      if (!isnan (own_ms[z]))
        sorted_ms[count++] = own_ms[z];
    }
  qsort (sorted_ms, count, sizeof *sorted_ms, compare_doubles);
  double limit_ms
      = count == 0 ? NAN : PEER_BASELINE_FACTOR * sorted_ms[(count - 1) / 2];
  for (unsigned z = 0; z < zones; z++)
    analysis->baseline_ms[z][part] = fmin (own_ms[z], limit_ms);
}

static bool
symptoms_compute (const struct analysis *analysis, unsigned zone, int64_t span,
                  struct symptoms *symptoms)
{
  const struct cyv_time_split *split
      = cyv_split_at (analysis->series, analysis->service, zone, span);
  memset (symptoms, 0, sizeof *symptoms);
  if (split == NULL || split->requests < REQUESTS_MIN)
    return false;
  symptoms->requests = split->requests;
  for (unsigned p = 0; p < CYV_PART_COUNT; p++)
    {
      double mean_ms = split->part_ms[p] / split->requests;
      double limit_ms
          = SLOW_FACTOR * analysis->baseline_ms[zone][p] + slack_ms[p];
      symptoms->is_slow[p] = mean_ms > limit_ms;
      symptoms->slow_parts += mean_ms > limit_ms;
    }
  for (unsigned e = 0; e < CYV_OUTCOME_COUNT; e++)
    {
      symptoms->share[e] = split->outcomes[e] / split->requests;
      symptoms->is_abnormal[e] = symptoms->share[e] > abnormal_share[e];
    }
  return true;
}

static void
pair_add (struct cyv_verdict *verdict, unsigned a, unsigned b)
{
  struct cyv_pair pair = { a < b ? a : b, a < b ? b : a };
  for (unsigned i = 0; i < verdict->pair_count; i++)
    if (verdict->pairs[i].a == pair.a && verdict->pairs[i].b == pair.b)
      return;
  if (verdict->pair_count < CYV_PAIRS_MAX)
    verdict->pairs[verdict->pair_count++] = pair;
}

static struct cyv_evidence *
evidence_get (struct cyv_verdict *verdict, const struct cyv_evidence *key)
{
  for (unsigned i = 0; i < verdict->evidence_count; i++)
    {
      struct cyv_evidence *entry = &verdict->evidence[i];
      if (entry->kind == key->kind && entry->zone == key->zone
          && entry->peer == key->peer && entry->part == key->part
          && entry->outcome == key->outcome)
        return entry;
    }
  if (verdict->evidence_count == CYV_EVIDENCE_MAX)
    return NULL;
  struct cyv_evidence *entry = &verdict->evidence[verdict->evidence_count++];
  *entry = *key;
  return entry;
}

static void
evidence_add (struct analysis *analysis, const struct cyv_evidence *evidence)
{
  struct cyv_evidence *entry = evidence_get (analysis->verdict, evidence);
  if (entry == NULL)
    return;
  entry->value = fmax (entry->value, evidence->value);
  entry->last_span = evidence->last_span;
  entry->points_to = evidence->points_to;
}

static void
evidence_add_split (struct analysis *analysis, unsigned zone, int64_t span,
                    const struct symptoms *symptoms, enum cyv_cause cause)
{
  const struct cyv_time_split *split
      = cyv_split_at (analysis->series, analysis->service, zone, span);
  struct cyv_evidence evidence = {
    .points_to = cause, .zone = zone, .first_span = span, .last_span = span
  };
  evidence.kind = CYV_EVIDENCE_SLOW_PART;
  for (unsigned p = 0; p < CYV_PART_COUNT; p++)
    {
      evidence.part = (enum cyv_part)p;
      evidence.value = split->part_ms[p] / split->requests;
      evidence.baseline_ms = analysis->baseline_ms[zone][p];
      if (symptoms->is_slow[p])
        evidence_add (analysis, &evidence);
    }
  evidence.kind = CYV_EVIDENCE_OUTCOME;
  evidence.part = CYV_PART_CALLER;
  evidence.baseline_ms = 0;
  for (unsigned e = 0; e < CYV_OUTCOME_COUNT; e++)
    {
      evidence.outcome = (enum cyv_outcome)e;
      evidence.value = symptoms->share[e];
      if (symptoms->is_abnormal[e])
        evidence_add (analysis, &evidence);
    }
}

static void
evidence_add_path (struct analysis *analysis, unsigned a, unsigned b,
                   int64_t span)
{
  const struct cyv_probe *probe = cyv_probe_at (analysis->series, a, b, span);
  enum cyv_path_state path = cyv_probe_classify (analysis->series, a, b, span);
  if (path <= CYV_PATH_HEALTHY)
    return;
  double answered_count = probe->sent - probe->lost;
  bool is_slow = path == CYV_PATH_SLOW;
  struct cyv_evidence evidence = { .kind = is_slow ? CYV_EVIDENCE_PROBES_SLOW
                                                   : CYV_EVIDENCE_PROBES_LOST,
                                   .points_to = CYV_CAUSE_NETWORK,
                                   .zone = a,
                                   .peer = b,
                                   .first_span = span,
                                   .last_span = span };
  evidence.value = is_slow && answered_count > 0
                       ? probe->round_trip_ms / answered_count
                       : probe->lost / probe->sent;
  evidence_add (analysis, &evidence);
}

/* Returns true when the network between ZONE and another zone was at fault;
   adds the pairs of zones to the verdict.  */
static bool
find_network_fault (struct analysis *analysis, unsigned zone, int64_t span)
{
  bool found = false;
  for (unsigned z = 0; z < cyv_series_zone_count (analysis->series); z++)
    {
      if (z == zone
          || !cyv_path_at_fault (analysis->series, analysis->regions, zone, z,
                                 span))
        continue;
      found = true;
      pair_add (analysis->verdict, zone, z);
      evidence_add_path (analysis, zone, z, span);
      evidence_add_path (analysis, z, zone, span);
    }
  return found;
}

/* Returns true when no path of ZONE has a fault and at least one is healthy by
   the probes of both ends.  */
static bool
has_healthy_paths (const struct analysis *analysis, unsigned zone,
                   int64_t span)
{
  unsigned healthy_count = 0;
  for (unsigned z = 0; z < cyv_series_zone_count (analysis->series); z++)
    {
      if (z == zone)
        continue;
      enum cyv_path_state path = cyv_path_classify (
          analysis->series, analysis->regions, zone, z, span);
      if (path > CYV_PATH_HEALTHY)
        return false;
      healthy_count += path == CYV_PATH_HEALTHY;
    }
  return healthy_count > 0;
}

/* Returns the cause of slow or failed connections to the backend servers.  */
static enum cyv_cause
transit_cause (struct analysis *analysis, unsigned zone, int64_t span,
               const struct symptoms *symptoms)
{
  if (find_network_fault (analysis, zone, span))
    return CYV_CAUSE_NETWORK;
  bool is_only_failure = !symptoms->is_slow[CYV_PART_LINK]
                         && !symptoms->is_slow[CYV_PART_CONNECT];
  if (is_only_failure && has_healthy_paths (analysis, zone, span))
    return CYV_CAUSE_BACKEND_SERVER;
  return CYV_CAUSE_UNKNOWN;
}

static enum cyv_cause
classify_cause (struct analysis *analysis, unsigned zone, int64_t span,
                const struct symptoms *symptoms)
{
  if (symptoms->is_abnormal[CYV_OUTCOME_OWN_ERROR]
      || symptoms->slow_parts >= OWN_PROCESS_SLOW_PARTS)
    return CYV_CAUSE_OWN_PROCESS;
  bool is_transit = symptoms->is_slow[CYV_PART_CONNECT]
                    || symptoms->is_slow[CYV_PART_LINK]
                    || symptoms->is_abnormal[CYV_OUTCOME_CONNECT_FAILED];
  if (is_transit)
    return transit_cause (analysis, zone, span, symptoms);
  if (symptoms->is_slow[CYV_PART_BACKEND]
      || symptoms->is_abnormal[CYV_OUTCOME_BACKEND_FAILED])
    return CYV_CAUSE_BACKEND_SERVER;
  if (symptoms->is_slow[CYV_PART_WAITING]
      || symptoms->is_abnormal[CYV_OUTCOME_REFUSED_NO_SLOT])
    return CYV_CAUSE_OVERLOAD;
  if (symptoms->is_slow[CYV_PART_CALLER]
      || symptoms->is_abnormal[CYV_OUTCOME_CALLER_DISCONNECTED]
      || symptoms->is_abnormal[CYV_OUTCOME_REFUSED_RATE])
    return CYV_CAUSE_CALLER;
  return CYV_CAUSE_NONE;
}

/* Returns the number of affected requests of a span.  */
static double
affected_requests (const struct symptoms *symptoms)
{
  double affected_share = 0;
  for (unsigned e = 0; e < CYV_OUTCOME_COUNT; e++)
    if (symptoms->is_abnormal[e])
      affected_share += symptoms->share[e];
  if (symptoms->slow_parts > 0)
    affected_share = 1;
  return symptoms->requests * fmin (affected_share, 1);
}

static void
cause_record (struct analysis *analysis, enum cyv_cause cause, double affected,
              double requests, int64_t span)
{
  struct cyv_verdict *verdict = analysis->verdict;
  analysis->samples[cause]++;
  verdict->affected[cause] += affected;
  if (affected >= REQUESTS_MIN && affected >= SIGNIFICANT_SHARE * requests)
    analysis->is_significant[cause] = true;
  int64_t from = span * CYV_SPAN_MS;
  if (verdict->from_ms == 0 || from < verdict->from_ms)
    verdict->from_ms = from;
  if (from + CYV_SPAN_MS > verdict->to_ms)
    verdict->to_ms = from + CYV_SPAN_MS;
}

/* Returns the number of requests that ZONE last reported for a span; 0 when a
   recent report exists or no earlier one does.  */
static double
missing_requests (const struct analysis *analysis, unsigned zone, int64_t span)
{
  for (int64_t past_span = span; past_span > span - NO_REPORT_SPANS;
       past_span--)
    if (cyv_reports_at (analysis->series, zone, past_span) > 0)
      return 0;
  for (int64_t past_span = span - NO_REPORT_SPANS;
       past_span > span - LOOKBACK_SPANS && past_span >= 0; past_span--)
    {
      const struct cyv_time_split *split = cyv_split_at (
          analysis->series, analysis->service, zone, past_span);
      if (split != NULL && split->requests >= REQUESTS_MIN)
        return split->requests;
    }
  return 0;
}

static void
missing_report_record (struct analysis *analysis, unsigned zone, int64_t span)
{
  double requests = missing_requests (analysis, zone, span);
  if (requests <= 0)
    return;
  struct cyv_evidence evidence = { .kind = CYV_EVIDENCE_NO_REPORT,
                                   .points_to = CYV_CAUSE_UNKNOWN,
                                   .zone = zone,
                                   .first_span = span,
                                   .last_span = span };
  evidence_add (analysis, &evidence);
  cause_record (analysis, CYV_CAUSE_UNKNOWN, requests, requests, span);
}

static void
sample_classify (struct analysis *analysis, unsigned zone, int64_t span)
{
  struct symptoms symptoms;
  if (!symptoms_compute (analysis, zone, span, &symptoms))
    {
      missing_report_record (analysis, zone, span);
      return;
    }
  analysis->verdict->requests += symptoms.requests;
  enum cyv_cause cause = classify_cause (analysis, zone, span, &symptoms);
  if (cause == CYV_CAUSE_NONE)
    return;
  evidence_add_split (analysis, zone, span, &symptoms, cause);
  cause_record (analysis, cause, affected_requests (&symptoms),
                symptoms.requests, span);
}

static enum cyv_cause
main_cause (const struct analysis *analysis)
{
  const struct cyv_verdict *verdict = analysis->verdict;
  enum cyv_cause best = CYV_CAUSE_NONE;
  for (unsigned c = CYV_CAUSE_NONE + 1; c < CYV_CAUSE_COUNT; c++)
    {
      bool is_proven = analysis->samples[c] >= CAUSE_SAMPLES_MIN
                       || analysis->is_significant[c];
      if (is_proven && verdict->affected[c] > verdict->affected[best])
        best = (enum cyv_cause)c;
    }
  if (best == CYV_CAUSE_NONE && verdict->requests <= 0)
    best = CYV_CAUSE_UNKNOWN;
  return best;
}

static enum cyv_answer
network_answer (const struct analysis *analysis)
{
  const struct cyv_verdict *verdict = analysis->verdict;
  double total = 0;
  for (unsigned c = 0; c < CYV_CAUSE_COUNT; c++)
    total += verdict->affected[c];
  if (verdict->cause == CYV_CAUSE_NETWORK
      || verdict->affected[CYV_CAUSE_NETWORK] > SECONDARY_SHARE * total)
    return CYV_ANSWER_YES;
  if (verdict->cause == CYV_CAUSE_UNKNOWN
      || verdict->affected[CYV_CAUSE_UNKNOWN] > SECONDARY_SHARE * total)
    return CYV_ANSWER_UNKNOWN;
  return CYV_ANSWER_NO;
}

void
cyv_verdict_compute (const struct cyv_series *series, const uint16_t *regions,
                     unsigned service, int64_t from_ms, int64_t to_ms,
                     struct cyv_verdict *verdict)
{
  struct analysis analysis = { .series = series,
                               .regions = regions,
                               .service = service,
                               .first_span = cyv_span_of (from_ms),
                               .last_span = cyv_span_of (to_ms - 1),
                               .verdict = verdict };
  if (analysis.first_span <= analysis.last_span - CYV_SPAN_COUNT)
    analysis.first_span = analysis.last_span - CYV_SPAN_COUNT + 1;
  memset (verdict, 0, sizeof *verdict);
  for (unsigned p = 0; p < CYV_PART_COUNT; p++)
    baselines_compute (&analysis, (enum cyv_part)p);
  for (int64_t span = analysis.first_span; span <= analysis.last_span; span++)
    for (unsigned z = 0; z < cyv_series_zone_count (series); z++)
      sample_classify (&analysis, z, span);
  verdict->cause = main_cause (&analysis);
  if (verdict->cause == CYV_CAUSE_NONE)
    verdict->from_ms = verdict->to_ms = 0;
  verdict->network_at_fault = network_answer (&analysis);
}
