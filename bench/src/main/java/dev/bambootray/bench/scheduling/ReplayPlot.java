package dev.bambootray.bench.scheduling;

import java.awt.Graphics2D;
import java.awt.geom.Rectangle2D;
import java.awt.image.BufferedImage;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.List;
import javax.imageio.ImageIO;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.JFreeChart;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;

/** Plots completion time and fragmentation over time, one panel for each deployment. */
final class ReplayPlot {
  private static final int WIDTH = 900;
  private static final int HEIGHT = 450;

  /** Points are means over this many minutes, because single samples are too noisy to read. */
  private static final double BUCKET_MINUTES = 2;

  private ReplayPlot() {}

  /** Writes the plot of all policies for one seed. */
  static void write(List<ReplayRun> runs, long seed, Path file) {
    BufferedImage image = new BufferedImage(2 * WIDTH, 2 * HEIGHT, BufferedImage.TYPE_INT_RGB);
    Graphics2D graphics = image.createGraphics();
    int column = 0;
    for (String deployment : List.of("first", "second")) {
      XYSeriesCollection completion = new XYSeriesCollection();
      XYSeriesCollection fragmentation = new XYSeriesCollection();
      for (ReplayRun run : runs) {
        if (run.seed() == seed && run.deployment().equals(deployment)) {
          completion.addSeries(series(run.policy(), run.measures().completionOverTime()));
          fragmentation.addSeries(series(run.policy(), run.measures().fragmentationOverTime()));
        }
      }
      draw(graphics, chart(deployment, "mean completion [s]", completion), column, 0);
      draw(graphics, chart(deployment, "fragmentation", fragmentation), column, 1);
      column++;
    }
    graphics.dispose();
    try {
      ImageIO.write(image, "png", file.toFile());
    } catch (IOException e) {
      throw new UncheckedIOException("cannot write the plot " + file, e);
    }
  }

  private static JFreeChart chart(String deployment, String axis, XYSeriesCollection data) {
    return ChartFactory.createXYLineChart(
        axis + ", " + deployment + " deployment", "time [min]", axis, data);
  }

  private static void draw(Graphics2D graphics, JFreeChart chart, int column, int row) {
    chart.draw(
        graphics,
        new Rectangle2D.Double((double) column * WIDTH, (double) row * HEIGHT, WIDTH, HEIGHT));
  }

  private static XYSeries series(String name, List<double[]> points) {
    XYSeries series = new XYSeries(name);
    double bucketEnd = BUCKET_MINUTES;
    double sum = 0;
    int count = 0;
    for (double[] point : points) {
      while (point[0] >= bucketEnd) {
        if (count > 0) {
          series.add(bucketEnd, sum / count);
        }
        bucketEnd += BUCKET_MINUTES;
        sum = 0;
        count = 0;
      }
      sum += point[1];
      count++;
    }
    return series;
  }
}
