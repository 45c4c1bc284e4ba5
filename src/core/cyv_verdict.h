/* The verdict on a service: the cause of failed, refused or slow requests,
   derived from the time series of several observers.

   The network is reported as the cause only when both ends of a pair of zones
   measured the fault, both were demonstrably alive, and requests were affected
   in the same span.  A fault that a single observer reports, and the state of
   a zone without reports, count as not known.  Not thread-safe.  */

#ifndef CYV_VERDICT_H
#define CYV_VERDICT_H

#include "core/cyv_series.h"

#define CYV_EVIDENCE_MAX 24 /* evidence entries in a verdict */
#define CYV_PAIRS_MAX    16 /* pairs of zones in a verdict */

enum cyv_cause
{
  CYV_CAUSE_NONE,
  CYV_CAUSE_NETWORK,
  CYV_CAUSE_BACKEND_SERVER,
  CYV_CAUSE_OVERLOAD,
  CYV_CAUSE_CALLER,
  CYV_CAUSE_OWN_PROCESS,
  CYV_CAUSE_UNKNOWN,
  CYV_CAUSE_COUNT
};

/* Whether the network was at fault.  */
enum cyv_answer
{
  CYV_ANSWER_NO,
  CYV_ANSWER_YES,
  CYV_ANSWER_UNKNOWN
};

enum cyv_evidence_kind
{
  CYV_EVIDENCE_SLOW_PART, /* VALUE is the mean time of a request in PART in ms
                           */
  CYV_EVIDENCE_OUTCOME, /* VALUE is the share of requests with this outcome */
  CYV_EVIDENCE_PROBES_LOST, /* VALUE is the share of probes lost between ZONE
                               and PEER */
  CYV_EVIDENCE_PROBES_SLOW, /* VALUE is the round trip between ZONE and PEER in
                               ms */
  CYV_EVIDENCE_NO_REPORT    /* no report of ZONE arrived */
};

struct cyv_evidence
{
  enum cyv_evidence_kind kind;
  enum cyv_cause points_to; /* cause that the entry supports */
  enum cyv_part part;       /* slow part */
  enum cyv_outcome outcome;
  unsigned zone;
  unsigned peer;      /* other zone of a probe */
  double value;       /* largest value in the spans of this entry */
  double baseline_ms; /* baseline in ms; 0 unless a slow part is reported */
  int64_t first_span; /* number of the first span with this evidence */
  int64_t last_span;  /* number of the last span with this evidence */
};

struct cyv_pair
{
  unsigned a;
  unsigned b;
};

struct cyv_verdict
{
  enum cyv_cause cause;
  enum cyv_answer network_at_fault;
  double affected[CYV_CAUSE_COUNT]; /* number of affected requests, by cause */
  double requests;                  /* number of requests examined */
  int64_t from_ms; /* start of the fault, Unix time; 0 without a fault */
  int64_t to_ms;   /* end of the fault, Unix time; 0 without a fault */
  unsigned pair_count;
  struct cyv_pair pairs[CYV_PAIRS_MAX];
  unsigned evidence_count;
  struct cyv_evidence evidence[CYV_EVIDENCE_MAX];
};

/* Fills VERDICT for SERVICE from the samples that arrived in [FROM_MS, TO_MS).
   REGIONS holds the region number of every zone.  */
void cyv_verdict_compute (const struct cyv_series *series,
                          const uint16_t *regions, unsigned service,
                          int64_t from_ms, int64_t to_ms,
                          struct cyv_verdict *verdict);

/* Return static texts such as "backend server", "waiting" and "connect
   failed".  */
const char *cyv_cause_text (enum cyv_cause cause);
const char *cyv_part_text (enum cyv_part part);
const char *cyv_outcome_text (enum cyv_outcome outcome);

/* State of the path between two zones in one span, from best to worst after
   CYV_PATH_UNKNOWN.  */
enum cyv_path_state
{
  CYV_PATH_UNKNOWN, /* not enough probes */
  CYV_PATH_HEALTHY,
  CYV_PATH_SLOW,
  CYV_PATH_LOSSY,
  CYV_PATH_DOWN
};

/* Classifies the path from zone FROM to zone TO by the probes of FROM alone.
 */
enum cyv_path_state cyv_probe_classify (const struct cyv_series *series,
                                        unsigned from, unsigned to,
                                        int64_t span);

/* Classifies the path between zones A and B by the probes of both ends.  Zones
   of different regions do not all probe each other; without probes of both
   ends, the best state among all probes between the two regions counts, for
   each direction.  */
enum cyv_path_state cyv_path_classify (const struct cyv_series *series,
                                       const uint16_t *regions, unsigned a,
                                       unsigned b, int64_t span);

/* Returns true when the network between A and B was at fault in SPAN: both
   ends measured the fault, and both were alive.  */
bool cyv_path_at_fault (const struct cyv_series *series,
                        const uint16_t *regions, unsigned a, unsigned b,
                        int64_t span);

#endif /* CYV_VERDICT_H */
