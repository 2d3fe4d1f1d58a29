#include "StandIns/Placement/Plot.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <array>

namespace sardineford::standins {

namespace {

constexpr double Width = 640;
constexpr double Height = 400;
constexpr double Margin = 60;
constexpr int YTicks = 5;
constexpr std::array<const char *, 4> Colors = {"#1f77b4", "#d62728", "#2ca02c",
                                                "#9467bd"};

std::string text(double x, double y, const std::string &s) {
  return fmt::format("<text x=\"{:.0f}\" y=\"{:.0f}\">{}</text>\n", x, y, s);
}

double yOf(double value) {
  return Height - Margin - value * (Height - 2 * Margin);
}

} // namespace

std::string renderPlot(const PlotLabels &labels,
                       const std::vector<PlotSeries> &series) {
  double maxX = 1;
  for (const PlotSeries &it : series)
    for (const auto &[x, y] : it.Points)
      maxX = std::max(maxX, x);
  auto xOf = [&](double value) {
    return Margin + value / maxX * (Width - 2 * Margin);
  };
  std::string out = fmt::format(
      "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{:.0f}\" "
      "height=\"{:.0f}\" font-family=\"sans-serif\" font-size=\"12\">\n",
      Width, Height);
  for (int i = 0; i <= YTicks; ++i) {
    double value = static_cast<double>(i) / YTicks;
    out += fmt::format("<line x1=\"{0:.0f}\" x2=\"{1:.0f}\" y1=\"{2:.0f}\" "
                       "y2=\"{2:.0f}\" stroke=\"#ddd\"/>\n",
                       Margin, Width - Margin, yOf(value));
    out += text(Margin - 30, yOf(value) + 4, fmt::format("{:.1f}", value));
  }
  size_t color = 0;
  for (const PlotSeries &it : series) {
    const char *stroke = Colors[color % Colors.size()];
    std::string points;
    for (const auto &[x, y] : it.Points) {
      points += fmt::format("{:.1f},{:.1f} ", xOf(x), yOf(y));
      if (color == 0)
        out += text(xOf(x) - 8, Height - Margin + 18, fmt::format("{}", x));
    }
    out += fmt::format("<polyline fill=\"none\" stroke=\"{}\" "
                       "stroke-width=\"2\" points=\"{}\"/>\n",
                       stroke, points);
    out += fmt::format("<g fill=\"{}\">{}</g>", stroke,
                       text(Width - Margin - 80,
                            20 + 16 * static_cast<double>(color), it.Name));
    ++color;
  }
  out += text(Width / 2, Height - 16, labels.X);
  out += text(10, Margin - 16, labels.Y);
  return out + "</svg>\n";
}

} // namespace sardineford::standins
