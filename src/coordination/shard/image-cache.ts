/** @file The images that a machine should hold. */

/** Images and their sizes, least recently used first; bounded by the cache of the machine's type. */
export class ImageCache {
  readonly #sizesGb = new Map<string, number>();

  constructor(private readonly capacityGb: number) {}

  /** Sizes by image, least recently used first. */
  get sizesGb(): ReadonlyMap<string, number> {
    return this.#sizesGb;
  }

  /** The image is used: it is the last one to be evicted. */
  touch(image: string, imageGb: number): void {
    this.#sizesGb.delete(image);
    this.#sizesGb.set(image, imageGb);
    let total = 0;
    for (const size of this.#sizesGb.values()) total += size;
    for (const [oldest, size] of this.#sizesGb) {
      if (total <= this.capacityGb || oldest === image) break;
      this.#sizesGb.delete(oldest);
      total -= size;
    }
  }

  /** The worker began anew, with an empty cache. */
  clear(): void {
    this.#sizesGb.clear();
  }
}
