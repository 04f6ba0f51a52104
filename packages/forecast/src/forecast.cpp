#include <foxwing/forecast/forecast.h>
