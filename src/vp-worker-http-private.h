/* Parser of worker reports, private to vp-worker-http.c and its tests.
 *
 *   VpWorkerReport report;
 *   _vp_worker_http_parse_report ("w1", body, &report);
 *   vp_worker_report_clear (&report);
 */
#pragma once

#include "vp-event.h"

/* Parses a report. If @body is NULL or any part of it is malformed, @report is empty and says that
 * the worker is not reachable. */
void _vp_worker_http_parse_report (const char *name, GBytes *body, VpWorkerReport *report);
