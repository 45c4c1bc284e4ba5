#include "entry/cye_names.h"

#include <stddef.h>

const struct cye_names cye_native_names = {
  .key = "Authorization",
  .key_scheme = "Bearer ",
  .timeout = "Cy-Timeout-Ms",
  .request_id = "Cy-Request-Id",
  .affinity = "cy-object",
  .workspace = "Cy-Workspace",
  .expected_instance = "Cy-Expect-Instance",
  .stamp = NULL,
  .not_run = "Cy-Not-Run",
  .load = "Cy-Load",
  .cold = "Cy-Cold-Ms",
  .leaving = "Cy-Leaving",
  .pause = "Retry-After",
  .limit = "Cy-Limit",
  .reserved_prefix = "Cy-",
  .refuses_misplaced_keys = true,
  .fractional_retry_after = false,
  .reports_times = true,
};
