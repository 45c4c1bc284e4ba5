#include "entry/cye_epoch.h"

#include <ck_epoch.h>
#include <glib.h>
#include <pthread.h>
#include <stdlib.h>

struct cye_reader
{
  ck_epoch_record_t record;
  struct cye_reader *next;
};

/* Memory that is released once no reader can hold it.  */
struct retired
{
  ck_epoch_entry_t entry;
  void *memory;
  void (*release) (void *memory);
};

struct cye_epoch
{
  ck_epoch_t epoch;
  struct cye_reader *writer;
  pthread_key_t key;
  GMutex lock; /* guards readers */
  struct cye_reader *readers;
};

CK_EPOCH_CONTAINER (struct retired, entry, retired_of_entry)

static void
reader_exit (void *value)
{
  struct cye_reader *reader = value;
  ck_epoch_unregister (&reader->record);
}

static struct cye_reader *
reader_create (struct cye_epoch *epoch)
{
  ck_epoch_record_t *free_record = ck_epoch_recycle (&epoch->epoch, NULL);
  if (free_record != NULL)
    return (struct cye_reader *)free_record;
  struct cye_reader *reader
      = aligned_alloc (CK_MD_CACHELINE, sizeof (struct cye_reader));
  if (reader == NULL)
    g_error ("out of memory");
  ck_epoch_register (&epoch->epoch, &reader->record, NULL);
  g_mutex_lock (&epoch->lock);
  reader->next = epoch->readers;
  epoch->readers = reader;
  g_mutex_unlock (&epoch->lock);
  return reader;
}

struct cye_epoch *
cye_epoch_create (void)
{
  struct cye_epoch *epoch = g_new0 (struct cye_epoch, 1);
  ck_epoch_init (&epoch->epoch);
  g_mutex_init (&epoch->lock);
  if (pthread_key_create (&epoch->key, reader_exit) != 0)
    g_error ("no key for thread-specific data is available");
  epoch->writer = reader_create (epoch);
  return epoch;
}

void
cye_epoch_destroy (struct cye_epoch *epoch)
{
  if (epoch == NULL)
    return;
  ck_epoch_barrier (&epoch->writer->record);
  pthread_key_delete (epoch->key);
  while (epoch->readers != NULL)
    {
      struct cye_reader *reader = epoch->readers;
      epoch->readers = reader->next;
      free (reader);
    }
  g_mutex_clear (&epoch->lock);
  g_free (epoch);
}

struct cye_reader *
cye_epoch_enter (struct cye_epoch *epoch)
{
  struct cye_reader *reader = pthread_getspecific (epoch->key);
  if (reader == NULL)
    {
      reader = reader_create (epoch);
      pthread_setspecific (epoch->key, reader);
    }
  ck_epoch_begin (&reader->record, NULL);
  return reader;
}

void
cye_epoch_leave (struct cye_reader *reader)
{
  ck_epoch_end (&reader->record, NULL);
}

static void
retired_release (ck_epoch_entry_t *entry)
{
  struct retired *retired = retired_of_entry (entry);
  retired->release (retired->memory);
  g_free (retired);
}

void
cye_epoch_retire (struct cye_epoch *epoch, void *memory,
                  void (*release) (void *memory))
{
  struct retired *retired = g_new (struct retired, 1);
  retired->memory = memory;
  retired->release = release;
  ck_epoch_call (&epoch->writer->record, &retired->entry, retired_release);
}

void
cye_epoch_poll (struct cye_epoch *epoch)
{
  ck_epoch_poll (&epoch->writer->record);
}
