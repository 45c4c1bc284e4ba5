/* Results of the load generator: counts, times and the printed summary.  */

#ifndef CYG_STATS_H
#define CYG_STATS_H

#include <stddef.h>
#include <stdint.h>

/* Result of one request from the point of view of its caller.  */
struct cyg_result
{
  const char *id;
  const char *workspace;
  const char *method;
  const char *service;
  const char *entry;      /* "IP:PORT" of the last attempt */
  const char *outcome;    /* Cy-Outcome, "unknown" if an earlier attempt may
                             have run, "none" without an answer */
  const char *error;      /* text of libcurl, "" for a complete answer */
  long status;            /* HTTP status, 0 without an answer */
  int64_t code;           /* code of the problem document, 0: none */
  double total_ms;        /* from the first attempt to the end */
  double breakdown_ms[5]; /* caller, waiting, connect, link, backend */
  int wrong;              /* the answer does not belong to the request */
  int attempts;
  int64_t unix_ms; /* start of the first attempt */
};

struct cyg_stats;

/* RECORD_PATH: file to append one JSON line per request to, "" for none.  */
struct cyg_stats *cyg_stats_create (const char *record_path);
void cyg_stats_destroy (struct cyg_stats *stats);

void cyg_stats_add (struct cyg_stats *stats, const struct cyg_result *result);

/* Counts a request that was due but not sent because too many were open.  */
void cyg_stats_skip (struct cyg_stats *stats);

/* Prints the summary as JSON to standard output.  */
void cyg_stats_print (struct cyg_stats *stats, double seconds);

/* Returns the number of answers that did not belong to their request.  */
uint64_t cyg_stats_wrong (const struct cyg_stats *stats);

/* Returns the share of requests with a complete and correct answer of status
   2xx or 3xx, 0 to 1.  */
double cyg_stats_ok_share (const struct cyg_stats *stats);

#endif /* CYG_STATS_H */
