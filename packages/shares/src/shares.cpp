#include <foxwing/shares/shares.h>
