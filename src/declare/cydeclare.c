#include "cydeclare.h"

#include <jansson.h>
#include <math.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include "declare/cydeclare_json.h"

/* -------------------------------------------------------- declaration */

struct cydeclare *
cydeclare_create (void)
{
  struct cydeclare *d = calloc (1, sizeof *d);
  if (d == NULL)
    return NULL;
  d->root = json_object ();
  if (d->root == NULL)
    {
      free (d);
      return NULL;
    }
  return d;
}

void
cydeclare_destroy (struct cydeclare *d)
{
  if (d == NULL)
    return;
  json_decref (d->root);
  free (d);
}

cy_result
cydeclare_result (const struct cydeclare *d)
{
  return d->result;
}

const char *
cydeclare_message (const struct cydeclare *d)
{
  return d->message;
}

char *
cydeclare_text (struct cydeclare *d)
{
  if (d->result != CY_OK)
    return NULL;
  return json_dumps (d->root, JSON_INDENT (2) | JSON_SORT_KEYS
                                  | JSON_REAL_PRECISION (15));
}

cy_result
cydeclare_print (struct cydeclare *d, FILE *file)
{
  if (d->result != CY_OK)
    return d->result;
  char *text = cydeclare_text (d);
  if (text == NULL)
    return cydeclare_fail (d, CY_E_MEMORY, "declaration");
  if (fprintf (file, "%s\n", text) < 0 || fflush (file) != 0)
    cydeclare_fail (d, CY_E_IO, "printing the declaration");
  free (text);
  return d->result;
}

/* ------------------------------------------- regions, zones and sites */

cy_result
cydeclare_region (struct cydeclare *d, const char *region)
{
  return cydeclare_add (d, "regions", region, json_object ());
}

cy_result
cydeclare_zone (struct cydeclare *d, const char *zone, const char *region)
{
  if (!cydeclare_check_declared (d, "regions", region))
    return d->result;
  return cydeclare_add (d, "zones", zone,
                        json_pack ("{ss}", "region", region));
}

cy_result
cydeclare_link (struct cydeclare *d, const char *a, const char *b,
                double bits_per_s, double latency_ms)
{
  char name[2 * CYDECLARE_NAME_MAX + 2];
  if (!cydeclare_check_declared (d, "regions", a)
      || !cydeclare_check_declared (d, "regions", b)
      || !cydeclare_check_range (d, "bits_per_s", bits_per_s, 0, 1e13)
      || !cydeclare_check_range (d, "latency_ms", latency_ms, 0, 10000))
    return d->result;
  if (strcmp (a, b) == 0)
    return cydeclare_fail (d, CY_E_DECL_FIELD, "link from region %s to itself",
                           a);
  snprintf (name, sizeof name, "%s:%s", a, b);
  return cydeclare_put (d, "links", name,
                        json_pack ("{soso}", "bits_per_s",
                                   cydeclare_number (bits_per_s), "latency_ms",
                                   cydeclare_number (latency_ms)));
}

cy_result
cydeclare_site (struct cydeclare *d, const char *site, const char *region)
{
  if (!cydeclare_check_declared (d, "regions", region))
    return d->result;
  return cydeclare_add (d, "blocks", site,
                        json_pack ("{sss[]}", "region", region, "prefixes"));
}

cy_result
cydeclare_block (struct cydeclare *d, const char *site, const char *prefix)
{
  if (!cydeclare_check_declared (d, "blocks", site))
    return d->result;
  json_t *blocks = json_object_get (d->root, "blocks");
  json_t *prefixes
      = json_object_get (json_object_get (blocks, site), "prefixes");
  if (prefix == NULL || strchr (prefix, '/') == NULL)
    return cydeclare_fail (d, CY_E_BLOCK_INVALID,
                           "block of site %s must be like 10.1.0.0/16", site);
  if (json_array_append_new (prefixes, json_string (prefix)) != 0)
    return cydeclare_fail (d, CY_E_MEMORY, "block of site %s", site);
  return CY_OK;
}

/* ---------------------------------------------------------- workspaces */

cy_result
cydeclare_workspace (struct cydeclare *d, const char *workspace, double rate,
                     double burst)
{
  if (!cydeclare_check_range (d, "rate", rate, 0, 1e6)
      || !cydeclare_check_range (d, "burst", burst, 0, 1e7))
    return d->result;
  return cydeclare_add (d, "workspaces", workspace,
                        json_pack ("{soso}", "rate", cydeclare_number (rate),
                                   "burst", cydeclare_number (burst)));
}

cy_result
cydeclare_weight (struct cydeclare *d, const char *workspace, double weight)
{
  if (!cydeclare_check_range (d, "weight", weight, 0.001, 1000))
    return d->result;
  return cydeclare_set (d, "workspaces", workspace, "weight",
                        cydeclare_number (weight));
}

cy_result
cydeclare_cut_off (struct cydeclare *d, const char *workspace, uint32_t max_ms)
{
  if (!cydeclare_check_range (d, "cut_off_max_ms", max_ms, 0, 86400000))
    return d->result;
  cydeclare_set (d, "workspaces", workspace, "serve_cut_off", json_true ());
  return cydeclare_set (d, "workspaces", workspace, "cut_off_max_ms",
                        json_integer (max_ms));
}

/* ----------------------------------------------------- caps and limits */

cy_result
cydeclare_cap (struct cydeclare *d, const char *cap, const char *service,
               double fraction, uint32_t window_ms)
{
  if (service != NULL && !cydeclare_check_declared (d, "services", service))
    return d->result;
  if (!cydeclare_check_range (d, "fraction", fraction, 0, 1)
      || !cydeclare_check_range (d, "window_ms", window_ms, 100, 86400000))
    return d->result;
  json_t *body = json_pack ("{sosi}", "fraction", cydeclare_number (fraction),
                            "window_ms", (int)window_ms);
  if (service != NULL)
    json_object_set_new (body, "service", json_string (service));
  return cydeclare_add (d, "caps", cap, body);
}

static cy_result
set_limit (struct cydeclare *d, const char *field, double value, double low,
           double high)
{
  if (!cydeclare_check_range (d, field, value, low, high))
    return d->result;
  return cydeclare_put (d, "limits", field, cydeclare_number (value));
}

cy_result
cydeclare_key_max_age (struct cydeclare *d, uint32_t ms)
{
  return set_limit (d, "key_max_age_ms", ms, 500, 60000);
}

cy_result
cydeclare_drain_notice (struct cydeclare *d, uint32_t ms)
{
  return set_limit (d, "drain_notice_ms", ms, 0, 600000);
}

cy_result
cydeclare_headroom (struct cydeclare *d, double share)
{
  return set_limit (d, "headroom", share, 0, 0.9);
}

cy_result
cydeclare_lookup_ttl (struct cydeclare *d, uint32_t ms)
{
  return set_limit (d, "lookup_ttl_ms", ms, 100, 600000);
}

cy_result
cydeclare_retry_budget (struct cydeclare *d, double share)
{
  return set_limit (d, "retry_budget", share, 0, 1);
}
