#include "core/cyc_serving.h"

#include <glib.h>
#include <string.h>

bool
cyc_serving_is_allowed (const struct cyc_serving *serving, cy_time_ns now)
{
  return serving->caught_up || now < serving->disk_allowed_until;
}

/* Removes the reports of what has been applied.  */
static void
drop_applied (struct cyc_serving *serving, uint64_t applied)
{
  size_t done = 0;
  while (done < serving->report_count
         && serving->reports[done].committed <= applied)
    done++;
  serving->report_count -= done;
  memmove (serving->reports, serving->reports + done,
           serving->report_count * sizeof *serving->reports);
}

/* A report that cannot be kept counts from the time of the one before it.  */
static void
add_report (struct cyc_serving *serving, uint64_t committed, cy_time_ns now)
{
  struct cyc_serving_report *last
      = serving->report_count == 0
            ? NULL
            : &serving->reports[serving->report_count - 1];
  if (last != NULL
      && (serving->report_count == CYC_REPORTS_MAX
          || now - last->at < CYC_REPORT_INTERVAL_MS * CY_NS_PER_MS))
    last->committed = MAX (last->committed, committed);
  else if (last == NULL || committed > last->committed)
    serving->reports[serving->report_count++]
        = (struct cyc_serving_report){ committed, now };
}

bool
cyc_serving_follow (struct cyc_serving *serving, uint64_t applied,
                    uint64_t committed, cy_time_ns now)
{
  drop_applied (serving, applied);
  if (committed > applied)
    add_report (serving, committed, now);
  serving->lags
      = serving->report_count > 0
        && now - serving->reports[0].at >= CYC_LAG_MAX_MS * CY_NS_PER_MS;
  if (!serving->lags)
    return false;
  bool was_allowed = cyc_serving_is_allowed (serving, now);
  serving->caught_up = false;
  serving->disk_allowed_until = 0;
  return was_allowed;
}

void
cyc_serving_catch_up (struct cyc_serving *serving)
{
  serving->caught_up = true;
}

bool
cyc_serving_update (struct cyc_serving *serving,
                    const struct cyc_serving_input *input, cy_time_ns now)
{
  bool was_allowed = cyc_serving_is_allowed (serving, now);
  if (!input->has_declaration || input->isolated || input->has_leader
      || serving->lags)
    return false;
  serving->disk_allowed_until = now + CYC_SERVE_FROM_DISK_MS * CY_NS_PER_MS;
  return !was_allowed;
}
