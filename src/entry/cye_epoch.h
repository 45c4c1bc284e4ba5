/* Safe memory reclamation for tables that HTTP threads read without a lock,
   with the epochs of Concurrency Kit.  There is one writer and any number of
   reader threads; a reader thread is registered at its first read.  Private
   to the entry VM.  */

#ifndef CYE_EPOCH_H
#define CYE_EPOCH_H

struct cye_epoch;
struct cye_reader;

struct cye_epoch *cye_epoch_create (void);

/* Releases all retired memory and frees EPOCH.  No thread may be in a read
   section or enter one any more.  */
void cye_epoch_destroy (struct cye_epoch *epoch);

/* Enters and leaves a read section.  Pointers that are read inside stay valid
   until the section ends.  Any thread; only the first call of a thread takes
   a lock.  */
struct cye_reader *cye_epoch_enter (struct cye_epoch *epoch);
void cye_epoch_leave (struct cye_reader *reader);

/* Calls RELEASE with MEMORY once no reader can hold MEMORY.  Called by the
   writer.  */
void cye_epoch_retire (struct cye_epoch *epoch, void *memory,
                       void (*release) (void *memory));

/* Releases the retired memory that no reader can hold any more, without
   waiting.  Called by the writer.  */
void cye_epoch_poll (struct cye_epoch *epoch);

#endif /* CYE_EPOCH_H */
