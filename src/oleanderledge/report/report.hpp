/// Public header of the report library: burn rates of the error budgets of a fleet.
#pragma once

#include "oleanderledge/report/BurnCalculator.hpp"
#include "oleanderledge/report/HtmlReport.hpp"
#include "oleanderledge/report/MetricsSample.hpp"
#include "oleanderledge/report/TextReport.hpp"
