/* Counters, gauges and histograms of our own, printed in the Prometheus text
   format. Any thread; updates are atomic and never block.  */

#ifndef CYU_METRICS_H
#define CYU_METRICS_H

#include <glib.h>
#include <stdint.h>

struct cyu_metric;

/* Returns the metric NAME with LABELS ("result=\"ok\"", may be ""), made at
   the first call.  Lives until the process ends.  HELP is one line.  */
struct cyu_metric *cyu_counter (const char *name, const char *labels,
                                const char *help);
struct cyu_metric *cyu_gauge (const char *name, const char *labels,
                              const char *help);

/* The same for labels that come from declarations and may be many: past
   CYU_LABEL_SETS_MOST of them NAME counts under the labels REST.  */
#define CYU_LABEL_SETS_MOST 256 /* lines of one name, about 20 KB of text */
struct cyu_metric *cyu_counter_bounded (const char *name, const char *labels,
                                        const char *rest, const char *help);

/* Appends LABEL="VALUE" to LABELS, escaped as the text format asks.  */
void cyu_label (GString *labels, const char *label, const char *value);

void cyu_metric_add (struct cyu_metric *metric, int64_t amount);
void cyu_metric_set (struct cyu_metric *metric, int64_t value);
int64_t cyu_metric_read (const struct cyu_metric *metric);

/* A histogram of times: buckets of equal width between powers of two of a
   microsecond, the same everywhere, so those of several VMs can be added.  */
#define CYU_BUCKETS_LEAST 7  /* the first bound is 2^7 µs, about 0.1 ms */
#define CYU_BUCKETS_MOST  26 /* the last is 2^26 µs, about 67 s */
#define CYU_BUCKETS_SPLIT 4  /* buckets between two powers of two */
struct cyu_metric *cyu_histogram (const char *name, const char *labels,
                                  const char *help);
void cyu_metric_time (struct cyu_metric *histogram, int64_t us);

/* Returns every metric as text, counters and gauges before the histograms,
   which are long: collectors may cut a page.  The caller frees it with
   g_free.  */
char *cyu_metrics_print (void);

#endif /* CYU_METRICS_H */
