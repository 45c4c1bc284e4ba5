#include "core/cyr_log.h"

#include <glib.h>

struct entry
{
  struct cyr_record *record;
  uint64_t total_bytes; /* data bytes up to this record since creation */
};

struct config
{
  uint64_t index;
  struct cyr_members *members;
};

struct cyr_log
{
  uint64_t base_index;
  uint64_t base_term;
  uint64_t base_bytes;
  GArray *entries; /* struct entry */

  /* struct config by index; the first one may belong to the base.  */
  GArray *configs;
};

static void
clear_entry (void *item)
{
  cyr_record_unref (((struct entry *)item)->record);
}

static void
clear_config (void *item)
{
  cyr_members_unref (((struct config *)item)->members);
}

static void
add_config (struct cyr_log *log, uint64_t index, struct cyr_members *members)
{
  struct config config = { index, members };
  if (members != NULL)
    g_array_append_val (log->configs, config);
}

struct cyr_log *
cyr_log_create (uint64_t base_index, uint64_t base_term,
                struct cyr_members *members)
{
  struct cyr_log *log = g_new0 (struct cyr_log, 1);
  log->entries = g_array_new (FALSE, FALSE, sizeof (struct entry));
  log->configs = g_array_new (FALSE, FALSE, sizeof (struct config));
  g_array_set_clear_func (log->entries, clear_entry);
  g_array_set_clear_func (log->configs, clear_config);
  cyr_log_reset (log, base_index, base_term, members);
  return log;
}

void
cyr_log_destroy (struct cyr_log *log)
{
  if (log == NULL)
    return;
  g_array_free (log->entries, TRUE);
  g_array_free (log->configs, TRUE);
  g_free (log);
}

uint64_t
cyr_log_base_index (const struct cyr_log *log)
{
  return log->base_index;
}

uint64_t
cyr_log_last_index (const struct cyr_log *log)
{
  return log->base_index + log->entries->len;
}

static const struct entry *
entry_at (const struct cyr_log *log, uint64_t index)
{
  return &g_array_index (log->entries, struct entry,
                         index - log->base_index - 1);
}

static uint64_t
bytes_at (const struct cyr_log *log, uint64_t index)
{
  if (index <= log->base_index)
    return log->base_bytes;
  return entry_at (log, index)->total_bytes;
}

size_t
cyr_log_bytes_after (const struct cyr_log *log, uint64_t index)
{
  return bytes_at (log, cyr_log_last_index (log)) - bytes_at (log, index);
}

bool
cyr_log_has_term (const struct cyr_log *log, uint64_t index)
{
  return index >= log->base_index && index <= cyr_log_last_index (log);
}

uint64_t
cyr_log_term (const struct cyr_log *log, uint64_t index)
{
  if (index == log->base_index)
    return log->base_term;
  return entry_at (log, index)->record->term;
}

uint64_t
cyr_log_last_term (const struct cyr_log *log)
{
  return cyr_log_term (log, cyr_log_last_index (log));
}

struct cyr_record *
cyr_log_get (const struct cyr_log *log, uint64_t index)
{
  return entry_at (log, index)->record;
}

void
cyr_log_append (struct cyr_log *log, struct cyr_record *record)
{
  struct entry entry = { record, 0 };
  entry.total_bytes
      = bytes_at (log, cyr_log_last_index (log)) + record->length;
  g_array_append_val (log->entries, entry);
  if (record->kind == CYR_RECORD_MEMBERS)
    add_config (log, record->index,
                cyr_members_unpack (record->data, record->length));
}

void
cyr_log_truncate (struct cyr_log *log, uint64_t index)
{
  if (index > cyr_log_last_index (log))
    return;
  g_array_set_size (log->entries, (guint)(index - log->base_index - 1));
  guint kept_count = log->configs->len;
  while (kept_count > 0
         && g_array_index (log->configs, struct config, kept_count - 1).index
                >= index)
    kept_count--;
  g_array_set_size (log->configs, kept_count);
}

void
cyr_log_compact (struct cyr_log *log, uint64_t index)
{
  if (index <= log->base_index)
    return;
  uint64_t term = cyr_log_term (log, index);
  uint64_t bytes = bytes_at (log, index);
  g_array_remove_range (log->entries, 0, (guint)(index - log->base_index));
  log->base_index = index;
  log->base_term = term;
  log->base_bytes = bytes;
  while (log->configs->len > 1
         && g_array_index (log->configs, struct config, 1).index <= index)
    g_array_remove_index (log->configs, 0);
}

void
cyr_log_reset (struct cyr_log *log, uint64_t base_index, uint64_t base_term,
               struct cyr_members *members)
{
  g_array_set_size (log->entries, 0);
  g_array_set_size (log->configs, 0);
  log->base_index = base_index;
  log->base_term = base_term;
  log->base_bytes = 0;
  add_config (log, base_index,
              members == NULL ? NULL : cyr_members_ref (members));
}

struct cyr_members *
cyr_log_members_at (const struct cyr_log *log, uint64_t index,
                    uint64_t *members_index)
{
  for (guint i = log->configs->len; i > 0; i--)
    {
      const struct config *config
          = &g_array_index (log->configs, struct config, i - 1);
      if (config->index > index)
        continue;
      if (members_index != NULL)
        *members_index = config->index;
      return config->members;
    }
  if (members_index != NULL)
    *members_index = 0;
  return NULL;
}
