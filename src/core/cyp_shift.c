#include "core/cyp_shift.h"

#include <string.h>

double
cyp_ledger_remaining (const struct cyp_ledger *ledger,
                      const struct cyp_cap *cap, cy_time_ns now)
{
  double added = 0;
  for (unsigned i = 0; i < ledger->count; i++)
    if (now - ledger->entries[i].time < cap->window)
      added += ledger->entries[i].amount;
  double remaining = cap->fraction - added;
  return remaining > 0 ? remaining : 0;
}

static void
ledger_remove_entry (struct cyp_ledger *ledger, unsigned index)
{
  ledger->count--;
  memmove (ledger->entries + index, ledger->entries + index + 1,
           (ledger->count - index) * sizeof *ledger->entries);
}

/* Merges the two entries that are closest in time into the later one.  The
   earlier amount then counts for longer than the window, never shorter.  */
static void
ledger_merge_closest (struct cyp_ledger *ledger)
{
  unsigned closest = 0;
  for (unsigned i = 1; i + 1 < ledger->count; i++)
    {
      const struct cyp_ledger_entry *entry = &ledger->entries[i];
      const struct cyp_ledger_entry *closest_entry = &ledger->entries[closest];
      if (entry[1].time - entry[0].time
          < closest_entry[1].time - closest_entry[0].time)
        closest = i;
    }
  ledger->entries[closest + 1].amount += ledger->entries[closest].amount;
  ledger_remove_entry (ledger, closest);
}

void
cyp_ledger_add (struct cyp_ledger *ledger, const struct cyp_cap *cap,
                double amount, cy_time_ns now)
{
  if (amount <= 0)
    return;
  while (ledger->count > 0 && now - ledger->entries[0].time >= cap->window)
    ledger_remove_entry (ledger, 0);
  if (ledger->count > 0 && ledger->entries[ledger->count - 1].time == now)
    {
      ledger->entries[ledger->count - 1].amount += amount;
      return;
    }
  if (ledger->count == CYP_LEDGER_MAX)
    ledger_merge_closest (ledger);
  ledger->entries[ledger->count].time = now;
  ledger->entries[ledger->count].amount = amount;
  ledger->count++;
}

void
cyp_shift_start (struct cyp_shift *shift, const double *target, unsigned zones)
{
  memset (shift, 0, sizeof *shift);
  memcpy (shift->weight, target, zones * sizeof *target);
  shift->started = true;
}

double
cyp_shift_step (struct cyp_shift *shift, const double *target,
                const bool *lost, unsigned zones, const struct cyp_cap *cap,
                cy_time_ns now)
{
  double wanted = 0;
  for (unsigned z = 0; z < zones; z++)
    {
      bool zone_is_lost = lost != NULL && lost[z];
      if (zone_is_lost)
        shift->weight[z] = 0;
      else if (target[z] > shift->weight[z])
        wanted += target[z] - shift->weight[z];
    }
  double allowed = cyp_ledger_remaining (&shift->ledger, cap, now);
  double portion = wanted > allowed ? allowed / wanted : 1;
  for (unsigned z = 0; z < zones; z++)
    {
      if (lost != NULL && lost[z])
        continue;
      shift->weight[z] += portion * (target[z] - shift->weight[z]);
      if (shift->weight[z] < CYP_WEIGHT_MIN && target[z] <= 0)
        shift->weight[z] = 0;
    }
  double added = wanted * portion;
  cyp_ledger_add (&shift->ledger, cap, added, now);
  return added;
}
