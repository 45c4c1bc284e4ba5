#include "load/cyg_stats.h"

#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cy_result.h"

struct tally
{
  uint64_t requests;
  uint64_t ok;
  uint64_t refused; /* outcome "not-run" */
  GArray *times;    /* double: duration of each good request, ms */
};

struct cyg_stats
{
  struct tally all;
  GHashTable *workspaces; /* name -> struct tally */
  GHashTable *outcomes;   /* name -> count */
  GHashTable *codes;      /* name of the result code -> count */
  GHashTable *statuses;   /* HTTP status as text -> count */
  double breakdown_ms[5]; /* sums over good requests */
  uint64_t wrong;         /* answers of other requests */
  uint64_t errors;        /* requests without a complete answer */
  uint64_t skipped;       /* due but not sent */
  FILE *record;           /* NULL: no record */
};

/* Names of the elements of breakdown_ms.  */
static const char *const breakdown_names[5]
    = { "caller", "waiting", "connect", "link", "backend" };

static void
tally_free (void *data)
{
  struct tally *tally = data;
  g_array_free (tally->times, TRUE);
  g_free (tally);
}

struct cyg_stats *
cyg_stats_create (const char *record_path)
{
  struct cyg_stats *stats = g_new0 (struct cyg_stats, 1);
  stats->all.times = g_array_new (FALSE, FALSE, sizeof (double));
  stats->workspaces
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, tally_free);
  stats->outcomes
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  stats->codes = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  stats->statuses
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  if (record_path[0] != '\0')
    stats->record = fopen (record_path, "ae");
  return stats;
}

void
cyg_stats_destroy (struct cyg_stats *stats)
{
  if (stats == NULL)
    return;
  if (stats->record != NULL)
    fclose (stats->record);
  g_array_free (stats->all.times, TRUE);
  g_hash_table_destroy (stats->workspaces);
  g_hash_table_destroy (stats->outcomes);
  g_hash_table_destroy (stats->codes);
  g_hash_table_destroy (stats->statuses);
  g_free (stats);
}

static void
increment_count (GHashTable *table, const char *name)
{
  guint count = GPOINTER_TO_UINT (g_hash_table_lookup (table, name));
  g_hash_table_insert (table, g_strdup (name), GUINT_TO_POINTER (count + 1));
}

static void
write_record (struct cyg_stats *stats, const struct cyg_result *result)
{
  json_t *line = json_pack (
      "{ss ss ss ss ss ss ss sI sI sf sb si sI}", "id", result->id,
      "workspace", result->workspace, "method", result->method, "service",
      result->service, "entry", result->entry, "outcome", result->outcome,
      "error", result->error, "status", (json_int_t)result->status, "code",
      (json_int_t)result->code, "ms", result->total_ms, "wrong", result->wrong,
      "attempts", result->attempts, "unix_ms", (json_int_t)result->unix_ms);
  char *text = json_dumps (line, JSON_COMPACT | JSON_REAL_PRECISION (6));
  fprintf (stats->record, "%s\n", text);
  free (text);
  json_decref (line);
}

static void
tally_add (struct tally *tally, const struct cyg_result *result, int ok)
{
  tally->requests++;
  tally->ok += ok ? 1 : 0;
  tally->refused += strcmp (result->outcome, "not-run") == 0 ? 1 : 0;
  if (ok)
    g_array_append_val (tally->times, result->total_ms);
}

void
cyg_stats_add (struct cyg_stats *stats, const struct cyg_result *result)
{
  int ok = result->error[0] == '\0' && result->status >= 200
           && result->status < 400 && !result->wrong;
  struct tally *tally
      = g_hash_table_lookup (stats->workspaces, result->workspace);
  if (tally == NULL)
    {
      tally = g_new0 (struct tally, 1);
      tally->times = g_array_new (FALSE, FALSE, sizeof (double));
      g_hash_table_insert (stats->workspaces, g_strdup (result->workspace),
                           tally);
    }
  tally_add (&stats->all, result, ok);
  tally_add (tally, result, ok);
  increment_count (stats->outcomes, result->outcome);
  if (result->code != 0)
    increment_count (stats->codes, cy_result_name ((cy_result)result->code));
  char status[24];
  g_snprintf (status, sizeof status, "%ld", result->status);
  increment_count (stats->statuses, status);
  for (int i = 0; i < 5 && ok; i++)
    stats->breakdown_ms[i] += result->breakdown_ms[i];
  stats->wrong += result->wrong ? 1 : 0;
  stats->errors += result->error[0] != '\0' ? 1 : 0;
  if (stats->record != NULL)
    write_record (stats, result);
}

void
cyg_stats_skip (struct cyg_stats *stats)
{
  stats->skipped++;
}

/* ------------------------------------------------------------ summary */

static gint
compare_double (gconstpointer a, gconstpointer b)
{
  double left = *(const double *)a;
  double right = *(const double *)b;
  return left < right ? -1 : left > right;
}

static double
quantile (GArray *times, double share)
{
  if (times->len == 0)
    return 0;
  guint position = (guint)(share * (times->len - 1) + 0.5);
  return g_array_index (times, double, position);
}

static json_t *
counts_json (GHashTable *table)
{
  json_t *object = json_object ();
  GHashTableIter iter;
  gpointer name;
  gpointer count;
  g_hash_table_iter_init (&iter, table);
  while (g_hash_table_iter_next (&iter, &name, &count))
    json_object_set_new (object, name,
                         json_integer (GPOINTER_TO_UINT (count)));
  return object;
}

static json_t *
tally_json (struct tally *tally)
{
  g_array_sort (tally->times, compare_double);
  return json_pack (
      "{sI sI sI sf sf}", "requests", (json_int_t)tally->requests, "ok",
      (json_int_t)tally->ok, "not_run", (json_int_t)tally->refused, "p50_ms",
      quantile (tally->times, 0.5), "p99_ms", quantile (tally->times, 0.99));
}

static json_t *
workspaces_json (struct cyg_stats *stats, const char **worst)
{
  json_t *object = json_object ();
  double worst_p99 = -1;
  GHashTableIter iter;
  gpointer name;
  gpointer value;
  g_hash_table_iter_init (&iter, stats->workspaces);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      struct tally *tally = value;
      json_object_set_new (object, name, tally_json (tally));
      double p99 = quantile (tally->times, 0.99);
      if (p99 > worst_p99)
        {
          worst_p99 = p99;
          *worst = name;
        }
    }
  return object;
}

static json_t *
breakdown_json (const struct cyg_stats *stats)
{
  json_t *object = json_object ();
  for (int i = 0; i < 5; i++)
    json_object_set_new (
        object, breakdown_names[i],
        json_real (stats->all.ok == 0
                       ? 0
                       : stats->breakdown_ms[i] / (double)stats->all.ok));
  return object;
}

void
cyg_stats_print (struct cyg_stats *stats, double seconds)
{
  const char *worst = "";
  json_t *root = tally_json (&stats->all);
  json_object_set_new (root, "seconds", json_real (seconds));
  json_object_set_new (root, "per_s",
                       json_real ((double)stats->all.requests / seconds));
  json_object_set_new (root, "wrong", json_integer ((json_int_t)stats->wrong));
  json_object_set_new (root, "errors",
                       json_integer ((json_int_t)stats->errors));
  json_object_set_new (root, "skipped",
                       json_integer ((json_int_t)stats->skipped));
  json_object_set_new (root, "outcomes", counts_json (stats->outcomes));
  json_object_set_new (root, "codes", counts_json (stats->codes));
  json_object_set_new (root, "statuses", counts_json (stats->statuses));
  json_object_set_new (root, "split_ms", breakdown_json (stats));
  json_object_set_new (root, "workspaces", workspaces_json (stats, &worst));
  json_object_set_new (root, "worst_workspace", json_string (worst));
  char *text = json_dumps (root, JSON_INDENT (1) | JSON_REAL_PRECISION (6));
  printf ("%s\n", text);
  free (text);
  json_decref (root);
  if (stats->record != NULL)
    fflush (stats->record);
}

uint64_t
cyg_stats_wrong (const struct cyg_stats *stats)
{
  return stats->wrong;
}

double
cyg_stats_ok_share (const struct cyg_stats *stats)
{
  return stats->all.requests == 0
             ? 0
             : (double)stats->all.ok / (double)stats->all.requests;
}
