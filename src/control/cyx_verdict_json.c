/* JSON of the verdict on a service, for `why`.  */

#include <glib.h>
#include <jansson.h>
#include <math.h>

#include "control/cyx_steer.h"

#define ROUNDING_SCALE 1000.0 /* values are rounded to three decimals */

static json_t *
number_json (double value)
{
  return json_real (round (value * ROUNDING_SCALE) / ROUNDING_SCALE);
}

static json_t *
zone_json (const struct cyx_planner *planner, unsigned zone)
{
  return json_string (cyp_names_get (&planner->catalog.zones, zone));
}

static json_t *
time_json (int64_t unix_ms)
{
  if (unix_ms == 0)
    return json_null ();
  GDateTime *time = g_date_time_new_from_unix_utc (unix_ms / 1000);
  char *text = g_date_time_format (time, "%Y-%m-%dT%H:%M:%SZ");
  json_t *json = json_string (text);
  g_free (text);
  g_date_time_unref (time);
  return json;
}

static json_t *
network_json (enum cyv_answer answer)
{
  switch (answer)
    {
    case CYV_ANSWER_NO:
      return json_false ();
    case CYV_ANSWER_YES:
      return json_true ();
    case CYV_ANSWER_UNKNOWN:
      break;
    }
  return json_null ();
}

/* Adds the observation of EVIDENCE to JSON.  */
static void
describe_evidence (const struct cyx_planner *planner,
                   const struct cyv_evidence *evidence, json_t *json)
{
  switch (evidence->kind)
    {
    case CYV_EVIDENCE_SLOW_PART:
      json_object_set_new (json, "seen", json_string ("slow"));
      json_object_set_new (json, "part",
                           json_string (cyv_part_text (evidence->part)));
      json_object_set_new (json, "ms", number_json (evidence->value));
      json_object_set_new (json, "usual_ms",
                           number_json (evidence->baseline_ms));
      break;
    case CYV_EVIDENCE_OUTCOME:
      json_object_set_new (json, "seen",
                           json_string (cyv_outcome_text (evidence->outcome)));
      json_object_set_new (json, "share", number_json (evidence->value));
      break;
    case CYV_EVIDENCE_PROBES_LOST:
      json_object_set_new (json, "seen", json_string ("probes lost"));
      json_object_set_new (json, "to_zone",
                           zone_json (planner, evidence->peer));
      json_object_set_new (json, "share", number_json (evidence->value));
      break;
    case CYV_EVIDENCE_PROBES_SLOW:
      json_object_set_new (json, "seen", json_string ("probes slow"));
      json_object_set_new (json, "to_zone",
                           zone_json (planner, evidence->peer));
      json_object_set_new (json, "ms", number_json (evidence->value));
      break;
    case CYV_EVIDENCE_NO_REPORT:
      json_object_set_new (json, "seen", json_string ("no reports"));
      break;
    }
}

static json_t *
evidence_json (const struct cyx_planner *planner,
               const struct cyv_evidence *evidence)
{
  json_t *json = json_object ();
  json_object_set_new (json, "zone", zone_json (planner, evidence->zone));
  describe_evidence (planner, evidence, json);
  json_object_set_new (json, "points_to",
                       json_string (cyv_cause_text (evidence->points_to)));
  json_object_set_new (json, "from",
                       time_json (evidence->first_span * CYV_SPAN_MS));
  json_object_set_new (json, "to",
                       time_json ((evidence->last_span + 1) * CYV_SPAN_MS));
  return json;
}

/* The verdict as a few sentences for the operator.  */
static json_t *
summary_json (const struct cyx_planner *planner,
              const struct cyv_verdict *verdict)
{
  static const char *const answers[]
      = { "The network was not at fault.", "The network was at fault.",
          "Whether the network was at fault is not known." };
  GString *text = g_string_new (NULL);
  double affected = 0;
  for (unsigned c = CYV_CAUSE_NETWORK; c < CYV_CAUSE_COUNT; c++)
    affected += verdict->affected[c];
  g_string_append_printf (text, "Verdict: %s. %s",
                          cyv_cause_text (verdict->cause),
                          answers[verdict->network_at_fault]);
  if (affected > 0)
    g_string_append_printf (text, " %.0f requests affected, %.0f judged.",
                            affected, verdict->requests);
  for (unsigned i = 0; i < verdict->pair_count; i++)
    g_string_append_printf (
        text, "%s %s and %s", i == 0 ? " Between" : ",",
        cyp_names_get (&planner->catalog.zones, verdict->pairs[i].a),
        cyp_names_get (&planner->catalog.zones, verdict->pairs[i].b));
  if (verdict->pair_count > 0)
    g_string_append_c (text, '.');
  json_t *json = json_string (text->str);
  g_string_free (text, TRUE);
  return json;
}

static json_t *
verdict_json (const struct cyx_planner *planner, const char *service,
              const char *workspace, const struct cyv_verdict *verdict)
{
  json_t *json = json_object ();
  json_object_set_new (json, "service", json_string (service));
  if (workspace != NULL)
    json_object_set_new (json, "workspace", json_string (workspace));
  json_object_set_new (json, "verdict",
                       json_string (cyv_cause_text (verdict->cause)));
  json_object_set_new (json, "network_at_fault",
                       network_json (verdict->network_at_fault));
  json_object_set_new (json, "summary", summary_json (planner, verdict));
  json_object_set_new (json, "from", time_json (verdict->from_ms));
  json_object_set_new (json, "to", time_json (verdict->to_ms));
  json_object_set_new (json, "requests", number_json (verdict->requests));
  json_t *affected = json_object ();
  for (unsigned c = CYV_CAUSE_NETWORK; c < CYV_CAUSE_COUNT; c++)
    if (verdict->affected[c] > 0)
      json_object_set_new (affected, cyv_cause_text ((enum cyv_cause)c),
                           number_json (verdict->affected[c]));
  json_object_set_new (json, "requests_affected", affected);
  json_t *between = json_array ();
  for (unsigned i = 0; i < verdict->pair_count; i++)
    {
      json_t *pair = json_array ();
      json_array_append_new (pair, zone_json (planner, verdict->pairs[i].a));
      json_array_append_new (pair, zone_json (planner, verdict->pairs[i].b));
      json_array_append_new (between, pair);
    }
  json_object_set_new (json, "between", between);
  json_t *evidence = json_array ();
  for (unsigned i = 0; i < verdict->evidence_count; i++)
    json_array_append_new (evidence,
                           evidence_json (planner, &verdict->evidence[i]));
  json_object_set_new (json, "evidence", evidence);
  return json;
}

char *
cyx_planner_why (const struct cyx_planner *planner,
                 const struct cys_state *state, const char *service,
                 const char *workspace, int64_t since_ms)
{
  (void)state;
  struct cyv_verdict verdict
      = { .cause = CYV_CAUSE_UNKNOWN, .network_at_fault = CYV_ANSWER_UNKNOWN };
  unsigned number = cyp_names_find (&planner->catalog.services, service);
  int64_t now_ms = cy_clock_unix_ms (planner->clock);
  if (number < CYV_SERVICES_MAX && since_ms > 0)
    cyv_verdict_compute (planner->series, planner->topology.zone_region,
                         number, now_ms - since_ms, now_ms, &verdict);
  json_t *json = verdict_json (planner, service, workspace, &verdict);
  char *text = json_dumps (json, JSON_INDENT (2) | JSON_REAL_PRECISION (12));
  char *copy = g_strdup (text);
  free (text);
  json_decref (json);
  return copy;
}
