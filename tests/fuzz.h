/* Entry point of the fuzz targets, which parse untrusted input. libFuzzer or fuzz-driver.c calls
 * it.
 *
 *   int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);   // in each fuzz-<name>.c
 */
#pragma once

#include <glib.h>
#include <stdint.h>

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);
