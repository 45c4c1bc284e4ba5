#include "net/cyn_counters.h"

#include <glib.h>

#include "base/cyu_metrics.h"

#define MESSAGE_NUMBER_MAX 63 /* largest field number of an envelope */

/* Metrics summed over all connections of the process.  */
struct totals
{
  struct cyu_metric *frames_in;
  struct cyu_metric *frames_out;
  struct cyu_metric *bytes_in;
  struct cyu_metric *bytes_out;
  struct cyu_metric *refused[10]; /* index: result - CY_E_FRAME_MAGIC */
  /* Bytes by the number of the message in the envelope, and whether the
     receiver is in another zone.  */
  struct cyu_metric *sent[MESSAGE_NUMBER_MAX + 1][2];
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

static struct cyu_metric *
create_sent (unsigned number, bool other_zone)
{
  const ProtobufCFieldDescriptor *field
      = protobuf_c_message_descriptor_get_field (&cy__envelope__descriptor,
                                                 number);
  char *labels = g_strdup_printf ("message=\"%s\",to=\"%s\"",
                                  field == NULL ? "" : field->name,
                                  other_zone ? "other_zone" : "zone");
  struct cyu_metric *metric = cyu_counter ("cy_net_sent_bytes_total", labels,
                                           "Bytes of messages by their kind.");
  g_free (labels);
  return metric;
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
cyn_count_frame_out (const Cy__Envelope *message, size_t bytes,
                     bool other_zone)
{
  struct totals *totals = get_totals ();
  unsigned number = MIN ((unsigned)message->body_case, MESSAGE_NUMBER_MAX);
  struct cyu_metric **sent = &totals->sent[number][other_zone];
  if (*sent == NULL)
    *sent = create_sent (number, other_zone);
  cyu_metric_add (*sent, (int64_t)bytes);
  cyu_metric_add (totals->frames_out, 1);
}
