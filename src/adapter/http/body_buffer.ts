/** Most bodies fit into the first block. */
const FIRST_BLOCK_BYTES = 2 * 1_024;
const BLOCK_BYTES = 16 * 1_024;

/**
 * Content of one body in blocks of memory. A list of chunks would occupy a hundred times
 * as much if a client sends them byte by byte.
 */
export class BodyBuffer {
  private readonly blocks: Buffer[] = [];
  private length = 0;
  /** Free bytes of the last block. */
  private free = 0;
  private occupied = 0;

  constructor(private readonly maxBytes: number) {}

  /** Size of the blocks. */
  get occupiedBytes(): number {
    return this.occupied;
  }

  get content(): Buffer {
    return Buffer.concat(this.blocks, this.length);
  }

  /** Adds a chunk; false if the body exceeds its maximum. */
  append(chunk: Buffer): boolean {
    if (this.length + chunk.length > this.maxBytes) return false;
    let copied = 0;
    while (copied < chunk.length) {
      if (this.free === 0) this.addBlock();
      const block = this.blocks.at(-1)!;
      const at = block.length - this.free;
      const count = chunk.copy(block, at, copied);
      copied += count;
      this.free -= count;
    }
    this.length += chunk.length;
    return true;
  }

  private addBlock(): void {
    const isFirst = this.blocks.length === 0;
    const block = Buffer.allocUnsafeSlow(
      isFirst ? FIRST_BLOCK_BYTES : BLOCK_BYTES,
    );
    this.blocks.push(block);
    this.free = block.length;
    this.occupied += block.length;
  }
}
