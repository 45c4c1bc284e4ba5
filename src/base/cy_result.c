#include "cy_result.h"

const char *
cy_result_text (cy_result result)
{
#define CY_RESULT_CASE(name, number, text)                                    \
  case name:                                                                  \
    return text;
  switch (result)
    {
      CY_RESULTS (CY_RESULT_CASE)
    }
#undef CY_RESULT_CASE
  return "unknown result";
}

const char *
cy_result_name (cy_result result)
{
#define CY_RESULT_CASE(name, number, text)                                    \
  case name:                                                                  \
    return #name;
  switch (result)
    {
      CY_RESULTS (CY_RESULT_CASE)
    }
#undef CY_RESULT_CASE
  return "CY_E_UNKNOWN";
}
