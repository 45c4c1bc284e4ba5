#include "base/cyu_metrics.h"

#include <inttypes.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <string.h>

#define BUCKET_COUNT                                                          \
  ((CYU_BUCKETS_LAST_LOG2 - CYU_BUCKETS_FIRST_LOG2) * CYU_BUCKETS_PER_POWER   \
   + 2)

/* A count for each bucket; the last bucket counts the times above all
   bounds.  */
struct histogram
{
  atomic_int_fast64_t counts[BUCKET_COUNT];
  atomic_int_fast64_t sum_us;
};

struct cyu_metric
{
  char *name;
  char *labels;
  const char *help;
  const char *type;
  atomic_int_fast64_t value;   /* value of a counter or a gauge */
  struct histogram *histogram; /* NULL: a counter or a gauge */
};

static GMutex metrics_lock;
static GPtrArray *metrics;     /* struct cyu_metric, sorted by name */
static GHashTable *by_key;     /* key "NAME{LABELS" to struct cyu_metric */
static GHashTable *label_sets; /* name to the number of its label sets */

static gint
compare_metrics (gconstpointer a, gconstpointer b)
{
  const struct cyu_metric *left = *(struct cyu_metric *const *)a;
  const struct cyu_metric *right = *(struct cyu_metric *const *)b;
  int order = strcmp (left->name, right->name);
  return order != 0 ? order : strcmp (left->labels, right->labels);
}

#define KEY_MAX_BYTES 512 /* bytes of a name and its labels, at most */

/* With the lock held: returns the metric of NAME and LABELS, NULL if there is
   none.  */
static struct cyu_metric *
metric_find (const char *name, const char *labels)
{
  char key[KEY_MAX_BYTES];
  if (metrics == NULL)
    {
      metrics = g_ptr_array_new ();
      by_key = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
      label_sets = g_hash_table_new (g_str_hash, g_str_equal);
    }
  g_snprintf (key, sizeof key, "%s{%s", name, labels);
  return g_hash_table_lookup (by_key, key);
}

/* With the lock held: creates the metric of NAME and LABELS.  */
static struct cyu_metric *
metric_create (const char *name, const char *labels, const char *help,
               const char *type)
{
  char key[KEY_MAX_BYTES];
  struct cyu_metric *metric = g_new0 (struct cyu_metric, 1);
  metric->name = g_strdup (name);
  metric->labels = g_strdup (labels);
  metric->help = help;
  metric->type = type;
  if (strcmp (type, "histogram") == 0)
    metric->histogram = g_new0 (struct histogram, 1);
  g_ptr_array_add (metrics, metric);
  g_ptr_array_sort (metrics, compare_metrics);
  g_snprintf (key, sizeof key, "%s{%s", name, labels);
  g_hash_table_insert (by_key, g_strdup (key), metric);
  guint sets = GPOINTER_TO_UINT (g_hash_table_lookup (label_sets, name));
  g_hash_table_insert (label_sets, metric->name, GUINT_TO_POINTER (sets + 1));
  return metric;
}

static struct cyu_metric *
metric_get (const char *name, const char *labels, const char *help,
            const char *type)
{
  g_mutex_lock (&metrics_lock);
  struct cyu_metric *metric = metric_find (name, labels);
  if (metric == NULL)
    metric = metric_create (name, labels, help, type);
  g_mutex_unlock (&metrics_lock);
  return metric;
}

struct cyu_metric *
cyu_counter_bounded (const char *name, const char *labels, const char *rest,
                     const char *help)
{
  g_mutex_lock (&metrics_lock);
  struct cyu_metric *metric = metric_find (name, labels);
  if (metric == NULL
      && GPOINTER_TO_UINT (g_hash_table_lookup (label_sets, name))
             >= CYU_LABEL_SETS_MAX)
    {
      labels = rest;
      metric = metric_find (name, labels);
    }
  if (metric == NULL)
    metric = metric_create (name, labels, help, "counter");
  g_mutex_unlock (&metrics_lock);
  return metric;
}

struct cyu_metric *
cyu_counter (const char *name, const char *labels, const char *help)
{
  return metric_get (name, labels, help, "counter");
}

struct cyu_metric *
cyu_gauge (const char *name, const char *labels, const char *help)
{
  return metric_get (name, labels, help, "gauge");
}

struct cyu_metric *
cyu_histogram (const char *name, const char *labels, const char *help)
{
  return metric_get (name, labels, help, "histogram");
}

void
cyu_label_append (GString *labels, const char *label, const char *value)
{
  g_string_append_printf (labels, "%s%s=\"", labels->len > 0 ? "," : "",
                          label);
  for (const char *character = value; *character != '\0'; character++)
    {
      if (*character == '\n')
        g_string_append (labels, "\\n");
      else
        {
          if (*character == '"' || *character == '\\')
            g_string_append_c (labels, '\\');
          g_string_append_c (labels, *character);
        }
    }
  g_string_append_c (labels, '"');
}

/* Returns the upper bound of bucket INDEX in µs.  */
static int64_t
bucket_bound_us (int index)
{
  int power = CYU_BUCKETS_FIRST_LOG2
              + (index + CYU_BUCKETS_PER_POWER - 1) / CYU_BUCKETS_PER_POWER;
  int step = index % CYU_BUCKETS_PER_POWER;
  int64_t top = (int64_t)1 << power;
  if (step == 0)
    return top;
  int64_t half = top / 2;
  return half + half * step / CYU_BUCKETS_PER_POWER;
}

void
cyu_metric_record_time (struct cyu_metric *metric, int64_t us)
{
  int low = 0;
  int high = BUCKET_COUNT - 1;
  while (low < high)
    {
      int middle = (low + high) / 2;
      if (us <= bucket_bound_us (middle))
        high = middle;
      else
        low = middle + 1;
    }
  atomic_fetch_add_explicit (&metric->histogram->counts[low], 1,
                             memory_order_relaxed);
  atomic_fetch_add_explicit (&metric->histogram->sum_us, us,
                             memory_order_relaxed);
}

void
cyu_metric_add (struct cyu_metric *metric, int64_t amount)
{
  atomic_fetch_add_explicit (&metric->value, amount, memory_order_relaxed);
}

void
cyu_metric_set (struct cyu_metric *metric, int64_t value)
{
  atomic_store_explicit (&metric->value, value, memory_order_relaxed);
}

int64_t
cyu_metric_read (const struct cyu_metric *metric)
{
  return atomic_load_explicit (&metric->value, memory_order_relaxed);
}

/* Prints the buckets with a count above 0.  Each printed count includes the
   buckets below, as the text format requires.  */
static void
print_histogram (GString *text, const struct cyu_metric *metric)
{
  const char *comma = metric->labels[0] ? "," : "";
  int64_t total = 0;
  for (int i = 0; i < BUCKET_COUNT; i++)
    {
      int64_t count = atomic_load_explicit (&metric->histogram->counts[i],
                                            memory_order_relaxed);
      total += count;
      if (count > 0 && i < BUCKET_COUNT - 1)
        g_string_append_printf (
            text, "%s_bucket{%s%sle=\"%.6f\"} %" PRId64 "\n", metric->name,
            metric->labels, comma, (double)bucket_bound_us (i) / 1e6, total);
    }
  int64_t sum = atomic_load_explicit (&metric->histogram->sum_us,
                                      memory_order_relaxed);
  g_string_append_printf (text, "%s_bucket{%s%sle=\"+Inf\"} %" PRId64 "\n",
                          metric->name, metric->labels, comma, total);
  const char *open = metric->labels[0] ? "{" : "";
  const char *close = metric->labels[0] ? "}" : "";
  g_string_append_printf (
      text, "%s_sum%s%s%s %.6f\n%s_count%s%s%s %" PRId64 "\n", metric->name,
      open, metric->labels, close, (double)sum / 1e6, metric->name, open,
      metric->labels, close, total);
}

/* Prints all counters and gauges, or all HISTOGRAMS.  HELP and TYPE come
   before the first metric of each name.  */
static void
print_all (GString *text, bool histograms)
{
  const char *previous_name = "";
  for (guint i = 0; metrics != NULL && i < metrics->len; i++)
    {
      const struct cyu_metric *metric = g_ptr_array_index (metrics, i);
      if ((metric->histogram != NULL) != histograms)
        continue;
      if (strcmp (metric->name, previous_name) != 0)
        g_string_append_printf (text, "# HELP %s %s\n# TYPE %s %s\n",
                                metric->name, metric->help, metric->name,
                                metric->type);
      previous_name = metric->name;
      if (metric->histogram != NULL)
        {
          print_histogram (text, metric);
          continue;
        }
      g_string_append_printf (text, "%s%s%s%s %" PRId64 "\n", metric->name,
                              metric->labels[0] ? "{" : "", metric->labels,
                              metric->labels[0] ? "}" : "",
                              cyu_metric_read (metric));
    }
}

char *
cyu_metrics_print (void)
{
  GString *text = g_string_new (NULL);
  g_mutex_lock (&metrics_lock);
  print_all (text, false);
  print_all (text, true);
  g_mutex_unlock (&metrics_lock);
  return g_string_free (text, FALSE);
}
