#include <foxwing/lag/lag.h>
