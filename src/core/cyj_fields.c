#include "core/cyj_fields.h"

#define MS_PER_DAY     86400000.0
#define RATE_MAX       1e6  /* requests/s */
#define BURST_MAX      1e7  /* requests */
#define BITS_PER_S_MAX 1e13 /* bits a second of a link */
#define BODY_BYTES_MAX (64.0 * 1024 * 1024)

#define NUMBER(type, member, low, high, default_value)                        \
  {                                                                           \
#member, CYJ_NUMBER, offsetof(type, member), low, high, default_value,    \
        false, NULL                                                           \
  }
#define NUMBER_REQUIRED(type, member, low, high)                              \
  {                                                                           \
#member, CYJ_NUMBER, offsetof(type, member), low, high, 0, true, NULL     \
  }
#define INTEGER(type, member, low, high, default_value)                       \
  {                                                                           \
#member, CYJ_INTEGER, offsetof(type, member), low, high, default_value,   \
        false, NULL                                                           \
  }
#define BOOLEAN(type, member)                                                 \
  {                                                                           \
#member, CYJ_BOOLEAN, offsetof(type, member), 0, 1, 0, false, NULL        \
  }
#define NAME(type, member, required, refers_to)                               \
  {                                                                           \
#member, CYJ_STRING, offsetof(type, member), 0, 0, 0, required, refers_to \
  }
#define END                                                                   \
  {                                                                           \
    NULL, CYJ_NUMBER, 0, 0, 0, 0, false, NULL                                 \
  }

static const struct cyj_field region_fields[] = { END };

static const struct cyj_field zone_fields[]
    = { NAME (Cy__Zone, region, true, "region/"), END };

const struct cyj_field cyj_route_fields[]
    = { { "prefix", CYJ_STRING, offsetof (Cy__Route, prefix), 0, 0, 0, true,
          NULL },
        BOOLEAN (Cy__Route, open),
        BOOLEAN (Cy__Route, idempotent_post),
        END };

static const struct cyj_field service_fields[]
    = { INTEGER (Cy__Service, timeout_ms, 1, 600000, 10000),
        INTEGER (Cy__Service, max_body_bytes, 0, BODY_BYTES_MAX, 1048576),
        { "routes", CYJ_ROUTES, offsetof (Cy__Service, routes), 0, 1000, 0,
          false, NULL },
        END };

static const struct cyj_field workspace_fields[]
    = { NUMBER_REQUIRED (Cy__Workspace, rate, 0, RATE_MAX),
        NUMBER_REQUIRED (Cy__Workspace, burst, 0, BURST_MAX),
        NUMBER (Cy__Workspace, weight, 0.001, 1000, 1),
        BOOLEAN (Cy__Workspace, serve_cut_off),
        INTEGER (Cy__Workspace, cut_off_max_ms, 0, MS_PER_DAY, 0),
        END };

static const struct cyj_field cap_fields[]
    = { NAME (Cy__Cap, service, false, "service/"),
        NUMBER_REQUIRED (Cy__Cap, fraction, 0, 1),
        INTEGER (Cy__Cap, window_ms, 100, MS_PER_DAY, 10000), END };

static const struct cyj_field link_fields[]
    = { NUMBER_REQUIRED (Cy__Link, bits_per_s, 0, BITS_PER_S_MAX),
        NUMBER (Cy__Link, latency_ms, 0, 10000, 0), END };

static const struct cyj_field blocks_fields[]
    = { NAME (Cy__ClientBlocks, region, true, "region/"),
        { "prefixes", CYJ_PREFIXES, offsetof (Cy__ClientBlocks, prefixes), 0,
          200000, 0, false, NULL },
        END };

static const struct cyj_field limits_fields[]
    = { INTEGER (Cy__Limits, key_max_age_ms, 500, 60000, 3000),
        INTEGER (Cy__Limits, drain_notice_ms, 0, 600000, 3000),
        NUMBER (Cy__Limits, headroom, 0, 0.9, 0.1),
        INTEGER (Cy__Limits, lookup_ttl_ms, 100, 600000, 5000),
        NUMBER (Cy__Limits, retry_budget, 0, 1, 0.1),
        END };

#define KIND(section, prefix, fields, case, message)                          \
  {                                                                           \
    section, prefix, fields, CY__OBJECT__BODY_##case,                         \
        &cy__##message##__descriptor, false, 0, false                         \
  }
#define NAMED(section, prefix, fields, case, message, type, member)           \
  {                                                                           \
    section, prefix, fields, CY__OBJECT__BODY_##case,                         \
        &cy__##message##__descriptor, false, offsetof (type, member), true    \
  }

const struct cyj_kind cyj_kinds[]
    = { NAMED ("regions", "region/", region_fields, REGION, region, Cy__Region,
               name),
        NAMED ("zones", "zone/", zone_fields, ZONE, zone, Cy__Zone, name),
        NAMED ("services", "service/", service_fields, SERVICE, service,
               Cy__Service, name),
        NAMED ("workspaces", "workspace/", workspace_fields, WORKSPACE,
               workspace, Cy__Workspace, name),
        KIND ("caps", "cap/", cap_fields, CAP, cap),
        KIND ("links", "link/", link_fields, LINK, link),
        NAMED ("blocks", "blocks/", blocks_fields, BLOCKS, client_blocks,
               Cy__ClientBlocks, site),
        { "limits", "limits/", limits_fields, CY__OBJECT__BODY_LIMITS,
          &cy__limits__descriptor, true, 0, false },
        { NULL, NULL, NULL, CY__OBJECT__BODY__NOT_SET, NULL, false, 0,
          false } };

const struct cyj_kind *
cyj_kind_of (const Cy__Object *object)
{
  for (const struct cyj_kind *kind = cyj_kinds; kind->section != NULL; kind++)
    if (kind->body_case == object->body_case)
      return kind;
  return NULL;
}
