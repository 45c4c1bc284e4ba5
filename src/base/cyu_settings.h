/* Settings from flags and environment variables, checked at the start.  Each
   program has one table of settings, from which --help, the names of the
   environment variables (CY_NAME for --name), the checks and docs/SETTINGS.md
   are derived.  A flag overrides the environment variable, which overrides the
   default.  */

#ifndef CYU_SETTINGS_H
#define CYU_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include "cy_result.h"

enum cyu_kind
{
  CYU_STRING,   /* value is char **, freed by cyu_settings_clear */
  CYU_IP,       /* like CYU_STRING, an IPv4 or IPv6 number */
  CYU_PORT,     /* value is int64_t *, MINIMUM to 65535 */
  CYU_INTEGER,  /* value is int64_t *, MINIMUM to MAXIMUM */
  CYU_BOOLEAN,  /* value is bool * */
  CYU_NUMBER,   /* value is double *, MINIMUM to MAXIMUM */
  CYU_DURATION, /* value is int64_t * in ms, MINIMUM to MAXIMUM (0: no
                   limit); text is "1500ms" or "2.5s" */
  CYU_ADDRESSES /* like CYU_STRING, a list "IP:PORT,IP:PORT" */
};

struct cyu_setting
{
  const char *name; /* flag without the dashes */
  enum cyu_kind kind;
  void *value;          /* variable that receives the value; see cyu_kind */
  const char *fallback; /* default as text, NULL: the setting is required */
  int64_t minimum;      /* smallest allowed value */
  int64_t maximum;      /* largest allowed value */
  const char *help;     /* one line, with the unit */
};

/* Reads ARGV and the environment into the variables of TABLE, which ends with
   a NULL name.  On an error prints a line to stderr with the name of the
   setting, the given value and the allowed values, and returns
   CY_E_SETTING_MISSING, CY_E_SETTING_INVALID or CY_E_SETTING_UNKNOWN.  --help
   and --settings-table print to stdout and exit with status 0.  */
cy_result cyu_settings_read (const char *summary,
                             const struct cyu_setting *table, int *argc,
                             char ***argv);
/* Frees the strings that cyu_settings_read stored.  */
void cyu_settings_clear (const struct cyu_setting *table);

/* Returns true when TEXT is an IPv4 or IPv6 number.  */
bool cyu_is_ip (const char *text);

/* Splits "IP:PORT" into *HOST, freed by g_free, and *PORT.  Returns false and
   allocates nothing when TEXT is malformed.  */
bool cyu_address_split (const char *text, char **host, uint16_t *port);

#endif /* CYU_SETTINGS_H */
