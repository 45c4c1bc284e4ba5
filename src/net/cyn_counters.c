#include "net/cyn_counters.h"

#include <glib.h>

#include "base/cyu_metrics.h"

/* Metrics summed over all connections of the process.  */
struct totals
{
  struct cyu_metric *frames_in;
  struct cyu_metric *frames_out;
  struct cyu_metric *bytes_in;
  struct cyu_metric *bytes_out;
  struct cyu_metric *refused[10]; /* index: result - CY_E_FRAME_MAGIC */
};

static gpointer
create_totals (gpointer unused)
{
  (void)unused;
  struct totals *totals = g_new0 (struct totals, 1);
  totals->frames_in = cyu_counter ("cy_net_frames_in_total", "",
                                   "Frames read from other processes.");
  totals->frames_out = cyu_counter ("cy_net_frames_out_total", "",
                                    "Frames written to other processes.");
  totals->bytes_in = cyu_counter ("cy_net_bytes_in_total", "",
                                  "Bytes read from other processes.");
  totals->bytes_out = cyu_counter ("cy_net_bytes_out_total", "",
                                   "Bytes written to other processes.");
  for (size_t i = 0; i < G_N_ELEMENTS (totals->refused); i++)
    {
      const char *name
          = cy_result_name ((cy_result)(CY_E_FRAME_MAGIC + (int)i));
      char *labels = g_strdup_printf ("result=\"%s\"", name);
      totals->refused[i] = cyu_counter ("cy_net_frames_refused_total", labels,
                                        "Connections closed by a bad frame.");
      g_free (labels);
    }
  return totals;
}

static struct totals *
get_totals (void)
{
  static GOnce once = G_ONCE_INIT;
  return g_once (&once, create_totals, NULL);
}

void
cyn_counters_read (struct cyn_counters *counters)
{
  const struct totals *totals = get_totals ();
  counters->frames_in = (uint64_t)cyu_metric_read (totals->frames_in);
  counters->frames_out = (uint64_t)cyu_metric_read (totals->frames_out);
  counters->bytes_in = (uint64_t)cyu_metric_read (totals->bytes_in);
  counters->bytes_out = (uint64_t)cyu_metric_read (totals->bytes_out);
  for (size_t i = 0; i < G_N_ELEMENTS (totals->refused); i++)
    counters->refused[i] = (uint64_t)cyu_metric_read (totals->refused[i]);
}

void
cyn_count_refused (cy_result reason)
{
  int index = (int)reason - CY_E_FRAME_MAGIC;
  struct totals *totals = get_totals ();
  if (index >= 0 && index < (int)G_N_ELEMENTS (totals->refused))
    cyu_metric_add (totals->refused[index], 1);
}

void
cyn_count_read (size_t bytes)
{
  cyu_metric_add (get_totals ()->bytes_in, (int64_t)bytes);
}

void
cyn_count_written (size_t bytes)
{
  cyu_metric_add (get_totals ()->bytes_out, (int64_t)bytes);
}

void
cyn_count_frame_in (void)
{
  cyu_metric_add (get_totals ()->frames_in, 1);
}

void
cyn_count_frame_out (void)
{
  cyu_metric_add (get_totals ()->frames_out, 1);
}
