/* One segment file of the log.  */

#ifndef CYD_SEGMENT_H
#define CYD_SEGMENT_H

#include "store/cyd_log.h"

struct cyd_segment
{
  uint64_t first_index; /* first record, which may not be written yet */
  int fd;
  int64_t end_offset;      /* offset after the last record */
  int64_t allocated_bytes; /* size of the file */
  GArray *record_offsets;  /* uint32_t, offset of each record */
};

/* Result of reading a segment.  */
struct cyd_scan
{
  GPtrArray *records; /* struct cyr_record, one reference each */

  /* Length of the non-zero data after the last complete record.  */
  int64_t torn_bytes;

  /* A later record states that the record expected at end_offset, which is
     missing or invalid, was synced.  */
  bool is_damaged;
  int64_t end_offset; /* offset after the last complete record */
};

/* File name of the segment whose first record is FIRST, freed by g_free.  */
char *cyd_segment_name (uint64_t first);

/* Index of the first record according to the file name NAME, 0 when NAME is
   not the name of a segment.  */
uint64_t cyd_segment_parse_name (const char *name);

/* Creates the file PATH with ALLOCATED bytes, without a sync.  *FD is the open
   file.  CY_E_STORE_FULL, CY_E_IO.  */
cy_result cyd_segment_allocate (const struct cyd_files *files,
                                const char *path, int64_t allocated, int *fd);
cy_result cyd_segment_write_header (const struct cyd_files *files, int fd,
                                    uint64_t folder, uint64_t first);

/* Opens and reads the segment that starts with the record FIRST.  Fills
   SEGMENT, also its record offsets, and SCAN.  Call cyd_segment_close also
   after a failure.  */
cy_result cyd_segment_open (const struct cyd_log_options *options,
                            uint64_t first, struct cyd_segment *segment,
                            struct cyd_scan *scan);
void cyd_segment_close (const struct cyd_files *files,
                        struct cyd_segment *segment);

static inline uint64_t
cyd_segment_last_index (const struct cyd_segment *segment)
{
  return segment->first_index + segment->record_offsets->len - 1;
}

#endif /* CYD_SEGMENT_H */
