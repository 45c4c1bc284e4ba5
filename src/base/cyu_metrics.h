/* Counters, gauges and histograms, printed in the Prometheus text format.  Any
   thread; updates are atomic and never block.  */

#ifndef CYU_METRICS_H
#define CYU_METRICS_H

#include <glib.h>
#include <stdint.h>

struct cyu_metric;

/* Return the metric NAME with LABELS ("result=\"ok\"", may be ""), which the
   first call creates and which lives until the process ends.  HELP is one line
   and must stay valid.  */
struct cyu_metric *cyu_counter (const char *name, const char *labels,
                                const char *help);
struct cyu_metric *cyu_gauge (const char *name, const char *labels,
                              const char *help);

/* Returns a counter like cyu_counter, for labels that come from declarations
   and may be many.  Once NAME has CYU_LABEL_SETS_MAX sets of labels, new sets
   are counted under the labels REST.  */
#define CYU_LABEL_SETS_MAX 256 /* sets of one name, about 20 KB of text */
struct cyu_metric *cyu_counter_bounded (const char *name, const char *labels,
                                        const char *rest, const char *help);

/* Appends LABEL="VALUE" to LABELS, with VALUE escaped for the text format.  */
void cyu_label_append (GString *labels, const char *label, const char *value);

void cyu_metric_add (struct cyu_metric *metric, int64_t amount);
void cyu_metric_set (struct cyu_metric *metric, int64_t value);
int64_t cyu_metric_read (const struct cyu_metric *metric);

/* Histograms of times.  Between two powers of two of a microsecond the buckets
   have equal width.  The bounds are the same on all VMs, so histograms of
   several VMs can be added.  The first bound is 2^7 µs, about 0.1 ms, the last
   is 2^26 µs, about 67 s.  */
#define CYU_BUCKETS_FIRST_LOG2 7
#define CYU_BUCKETS_LAST_LOG2  26
#define CYU_BUCKETS_PER_POWER  4 /* buckets between two powers of two */

struct cyu_metric *cyu_histogram (const char *name, const char *labels,
                                  const char *help);

/* Adds a time of US microseconds to HISTOGRAM.  */
void cyu_metric_record_time (struct cyu_metric *histogram, int64_t us);

/* Returns all metrics as text, freed by g_free.  Counters and gauges come
   before the histograms, which are long, because collectors may truncate the
   page.  */
char *cyu_metrics_print (void);

#endif /* CYU_METRICS_H */
