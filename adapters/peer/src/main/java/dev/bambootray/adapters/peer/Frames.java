package dev.bambootray.adapters.peer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.MessageToMessageDecoder;
import java.util.List;

/** Frames with a length of four bytes. */
final class Frames {
  /** Bytes of the length before each frame. */
  static final int LENGTH_BYTES = 4;

  private Frames() {}

  /**
   * Adds the codec of frames to a connection. A frame that declares more than the largest frame
   * raises an exception as soon as its length is read.
   */
  static void install(ChannelPipeline pipeline) {
    pipeline.addLast(
        new LengthFieldBasedFrameDecoder(
            MessageCodec.MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES),
        new LengthFieldPrepender(LENGTH_BYTES),
        new ToBytes());
  }

  private static final class ToBytes extends MessageToMessageDecoder<ByteBuf> {
    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf frame, List<Object> out) {
      out.add(ByteBufUtil.getBytes(frame));
    }
  }
}
